// eslint-disable-next-line import-x/no-extraneous-dependencies -- a tool of development alone
import { build } from 'esbuild';
import { copyFile, readFile } from 'node:fs/promises';
import process from 'node:process';
import { URL, fileURLToPath } from 'node:url';

const TARGET = fileURLToPath(new URL('../target/apricotrill-relay.cjs', import.meta.url));

const LOADER = fileURLToPath(new URL('loadCompiled.cjs', import.meta.url));

/**
 * The hash is compiled while the bundle is evaluated: a script, unlike a module, can't wait for it.
 * Where the library is written otherwise, the build fails at the wait that is left.
 */
const compileHashAtOnce = {
  name: 'compile-hash-at-once',
  setup({ onLoad }) {
    onLoad({ filter: /xxhash-wasm\.js$/ }, async ({ path }) => {
      const text = await readFile(path, 'utf8');
      const contents = text
        .replace('async function e()', 'function e()')
        .replace(
          '(await WebAssembly.instantiate(t)).instance',
          'new WebAssembly.Instance(new WebAssembly.Module(t))',
        );
      return { contents };
    });
    onLoad({ filter: /utils\/src\/lib\/hash\.ts$/ }, async ({ path }) => {
      const text = await readFile(path, 'utf8');
      return { contents: text.replace('await createXxhash()', 'createXxhash()'), loader: 'ts' };
    });
  },
};

const outfile = process.argv[2] ?? TARGET;

/** Makes the relay one script that starts fast: what isn't in it need not be found, read and run. */
await build({
  entryPoints: [
    fileURLToPath(new URL('../platform/src/bin/apricotrill-relay.bundle.ts', import.meta.url)),
  ],
  outfile: outfile.replace(/\.cjs$/, '.main.cjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  conditions: ['source'],
  minifyWhitespace: true,
  minifySyntax: true,
  alias: { undici: fileURLToPath(new URL('undiciParts.mjs', import.meta.url)) },
  plugins: [compileHashAtOnce],
  logLevel: 'warning',
});
await copyFile(LOADER, outfile);
