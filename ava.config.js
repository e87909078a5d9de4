// Tests run as TypeScript: Node strips the types.
export default {
  extensions: ["ts"],
  files: ["tests/**/*Tests.ts"],
  timeout: "120s",
  concurrency: 4,
  workerThreads: false,
  environmentVariables: { FIREFLYLB_TEST: "1" },
};
