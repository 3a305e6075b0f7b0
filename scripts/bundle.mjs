/**
 * Bundles one file for each role of the platform into `target/`.
 *
 * Usage: node scripts/bundle.mjs [directory]
 */
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, resolve } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

const root = resolve(dirname(fileURLToPath(import.meta.url)), "..");
const roles = {
  entry: "daemons/scheduler/main.ts",
  agent: "daemons/worker_agent/main.ts",
};

/** Directories of the workspace's packages by name. */
function listPackages() {
  const { workspaces } = JSON.parse(
    readFileSync(join(root, "package.json"), "utf8"),
  );
  const directories = workspaces.flatMap((pattern) =>
    pattern.endsWith("/*")
      ? readdirSync(join(root, pattern.slice(0, -2)), { withFileTypes: true })
        .filter((entry) => entry.isDirectory())
        .map((entry) => join(root, pattern.slice(0, -2), entry.name))
      : [join(root, pattern)]
  );
  return new Map(directories.map((directory) => {
    const manifest = readFileSync(join(directory, "package.json"), "utf8");
    return [JSON.parse(manifest).name, directory];
  }));
}

/** Resolves packages of the workspace to their sources. */
const workspaceSources = {
  name: "workspace-sources",
  setup(bundle) {
    const packages = listPackages();
    bundle.onResolve({ filter: /^@dragonflyledge\// }, ({ path }) => ({
      path: join(packages.get(path), "mod.ts"),
      sideEffects: false,
    }));
  },
};

await build({
  absWorkingDir: root,
  entryPoints: roles,
  outdir: process.argv[2] ?? "target",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  outExtension: { ".js": ".cjs" },
  sourcemap: false,
  // Optional native dependencies of bunyan, which works without them.
  external: ["dtrace-provider", "mv", "source-map-support"],
  plugins: [workspaceSources],
  logLevel: "warning",
});
