import { readdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { test } from "tap";

const root = fileURLToPath(new URL("../../../", import.meta.url));

interface Manifest {
  name: string;
  workspaces?: string[];
  dependencies?: Record<string, string>;
}

interface WorkspacePackage {
  directory: string;
  manifest: Manifest;
}

function readManifest(directory: string): Manifest {
  return JSON.parse(readFileSync(`${root}${directory}/package.json`, "utf8"));
}

function listPackages(): WorkspacePackage[] {
  const patterns = readManifest(".").workspaces ?? [];
  return patterns.flatMap((pattern) => {
    if (!pattern.endsWith("/*")) return [pattern];
    const parent = pattern.slice(0, -2);
    return readdirSync(root + parent, { withFileTypes: true })
      .filter((entry) => entry.isDirectory())
      .map((entry) => `${parent}/${entry.name}`);
  }).map((directory) => ({ directory, manifest: readManifest(directory) }));
}

/** Returns the workspace packages that the sources, without tests, import. */
function listImports(directory: string): Set<string> {
  const files = readdirSync(root + directory, {
    recursive: true,
    encoding: "utf8",
  });
  const names = new Set<string>();
  for (const file of files) {
    if (!file.endsWith(".ts") || /_test\.ts$|dist|node_modules/.test(file)) {
      continue;
    }
    const source = readFileSync(`${root}${directory}/${file}`, "utf8");
    for (const match of source.matchAll(/from "(@dragonflyledge\/[\w-]+)"/g)) {
      names.add(match[1]!);
    }
  }
  return names;
}

// Guards against an import of a package that package.json does not list and that
// resolves only because npm hoists the packages of the workspace.
test("each package lists the packages that it imports", (t) => {
  for (const { directory, manifest } of listPackages()) {
    const missing = [...listImports(directory)]
      .filter((name) => !(name in (manifest.dependencies ?? {})));
    t.same(missing, [], directory);
  }
  t.end();
});

// Guards against dependencies of the core on packages outside it, such as
// daemons, stores or the network, and against cycles.
test("the core depends only on itself, and dependencies have no cycle", (t) => {
  const packages = listPackages();
  const byName = new Map(packages.map((one) => [one.manifest.name, one]));
  const visit = (name: string, path: string[]): void => {
    if (path.includes(name)) {
      t.fail([...path, name].join(" -> "));
      return;
    }
    const { directory, manifest } = byName.get(name)!;
    for (const next of Object.keys(manifest.dependencies ?? {})) {
      const target = byName.get(next);
      if (!target) continue;
      const leavesCore = directory.startsWith("core/") &&
        !target.directory.startsWith("core/");
      t.notOk(leavesCore, `${name} depends on ${next}`);
      visit(next, [...path, name]);
    }
  };
  for (const name of byName.keys()) visit(name, []);
  t.end();
});
