/**
 * Runs the test suite with ava, closes with a plain count line and passes on ava's exit code.
 */
import { spawn } from "node:child_process";

const child = spawn("ava", process.argv.slice(2), { stdio: ["ignore", "pipe", "inherit"] });
let output = "";
child.stdout.setEncoding("utf8").on("data", (chunk: string) => {
  output += chunk;
  process.stdout.write(chunk);
});
child.on("error", (err) => {
  throw err;
});
child.on("close", (status) => {
  const passed = /(\d+) tests? passed/.exec(output)?.[1] ?? "0";
  const failed = /(\d+) tests? failed/.exec(output)?.[1] ?? "0";
  console.log(`${passed} passed, ${failed} failed`);
  process.exitCode = status ?? 1;
});
