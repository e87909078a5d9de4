// Lint rules: typescript-eslint's strict and stylistic type-checked sets, and the order of the layers.
import js from "@eslint/js";
import tseslint from "typescript-eslint";

/** Forbids imports of the given folders from one layer. */
function layer(files, forbidden) {
  return {
    files: [`${files}/**/*.ts`],
    rules: {
      "no-restricted-imports": [
        "error",
        {
          patterns: [
            {
              group: forbidden.map((name) => `**/${name}/**`),
              message: "A layer must not import a layer above it.",
            },
          ],
        },
      ],
    },
  };
}

export default tseslint.config(
  {
    ignores: [
      "dist",
      "target",
      "build",
      "node_modules",
      "src/protocol/generated",
      "eslint.config.js",
      "ava.config.js",
    ],
  },
  js.configs.recommended,
  tseslint.configs.strictTypeChecked,
  tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      "@typescript-eslint/naming-convention": [
        "error",
        { selector: "typeLike", format: ["PascalCase"] },
        {
          selector: "memberLike",
          modifiers: ["private"],
          format: ["camelCase"],
          leadingUnderscore: "require",
        },
      ],
      "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true }],
      "max-lines": ["error", { max: 300, skipBlankLines: true, skipComments: true }],
      "max-lines-per-function": ["error", { max: 60, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: ["tests/**/*.ts", "bench/**/*.ts", "scripts/**/*.ts", "standins/**/*.ts"],
    rules: { "max-lines-per-function": "off" },
  },
  layer("src/protocol", ["state", "coordination", "transport", "commands"]),
  layer("src/state", ["coordination", "transport", "commands"]),
  layer("src/coordination", ["transport", "commands"]),
  layer("src/transport", ["commands"]),
);
