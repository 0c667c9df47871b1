// Bundles the program of the users' platform from TypeScript sources, and prepares a code cache for it:
// instances start with little processor time, and a start is most of the time without service after a power loss.
import { spawnSync } from 'node:child_process';
import { readdirSync, readFileSync } from 'node:fs';
import { build } from 'esbuild';
import { parse } from 'smol-toml';

const alias = Object.fromEntries(
  readdirSync('packages').map((name) => [
    `@bramleykeel/${name}`,
    `./packages/${name}/src/index.ts`,
  ]),
);

/** Leaves out parts of libraries that the program never uses, because loading them slows down each start. */
const unusedParts = {
  name: 'unused-parts',
  setup: ({ onLoad }) => {
    // zod's messages in some fifty languages
    onLoad({ filter: /[\\/]zod[\\/]v4[\\/]locales[\\/]\w[\w-]*\.js$/ }, ({ path }) => {
      if (/[\\/](en|index)\.js$/.test(path)) return undefined;
      return { contents: 'export default () => ({});', loader: 'js' };
    });
    // prom-client's push gateway, cluster mode and process metrics
    onLoad(
      { filter: /[\\/]prom-client[\\/]lib[\\/](pushgateway|cluster|defaultMetrics)\.js$/ },
      () => {
        return { contents: 'module.exports = {};', loader: 'js' };
      },
    );
  },
};

const common = {
  bundle: true,
  minify: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  alias,
  plugins: [unusedParts],
  // The bundle holds no native modules, and looking for them takes time.
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  logLevel: 'warning',
};

await build({ ...common, entryPoints: ['platform/src/main.ts'], outfile: 'target/program.cjs' });
await build({
  ...common,
  entryPoints: ['platform/src/start.ts'],
  outfile: 'target/bramleykeel.cjs',
});

// V8 accepts a cache only under the options under which it was made.
const { roles } = parse(readFileSync('deploy/system.toml', 'utf8'));
const [command, ...options] = roles.entry.run.split(' ');
const { status } = spawnSync(command, [...options, '--write-code-cache'], { stdio: 'inherit' });
process.exit(status ?? 1);
