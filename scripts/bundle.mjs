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

/** The schema library brings its messages in some fifty languages; reading them costs start-up time. */
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
