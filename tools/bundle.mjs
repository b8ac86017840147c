// eslint-disable-next-line import-x/no-extraneous-dependencies -- a tool of development alone
import { build } from 'esbuild';
import process from 'node:process';
import { URL, fileURLToPath } from 'node:url';

const TARGET = fileURLToPath(new URL('../target/apricotrill-relay.mjs', import.meta.url));

/** Packages of the older module form ask for built-in modules by this function. */
const REQUIRE =
  "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);";

/** Makes the relay one file that starts fast: what isn't in it need not be found, read and run. */
await build({
  entryPoints: [
    fileURLToPath(new URL('../platform/src/bin/apricotrill-relay.bundle.ts', import.meta.url)),
  ],
  outfile: process.argv[2] ?? TARGET,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  conditions: ['source'],
  minifyWhitespace: true,
  minifySyntax: true,
  alias: { undici: fileURLToPath(new URL('undiciParts.mjs', import.meta.url)) },
  banner: { js: REQUIRE },
  logLevel: 'warning',
});
