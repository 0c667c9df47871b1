// Bundles platform/src/main.ts and its workspace packages into one file, from TypeScript sources.
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

/** Leaves out zod's non-English messages (some fifty languages); parsing them slows down start-up. */
const englishOnly = {
  name: 'english-only',
  setup: ({ onLoad }) => {
    onLoad({ filter: /[\\/]zod[\\/]v4[\\/]locales[\\/]\w[\w-]*\.js$/ }, ({ path }) => {
      if (/[\\/](en|index)\.js$/.test(path)) return undefined;
      return { contents: 'export default () => ({});', loader: 'js' };
    });
  },
};

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/bramleykeel.js',
  bundle: true,
  minify: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: { js: banner },
  alias,
  plugins: [englishOnly],
  logLevel: 'warning',
});
