// Bundles the program for the users' platform into one file, straight from the sources.
import { readdirSync } from 'node:fs';
import { build } from 'esbuild';

const banner =
  "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);";
const alias = Object.fromEntries(
  readdirSync('packages').map((name) => [
    `@bramleykeel/${name}`,
    `./packages/${name}/src/index.ts`,
  ]),
);

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/bramleykeel.js',
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: { js: banner },
  alias,
  logLevel: 'warning',
});
