// eslint-disable-next-line import-x/no-extraneous-dependencies -- a tool of development alone
import { build } from 'esbuild';
import { copyFile, mkdir, mkdtemp, readFile, rename, rm } from 'node:fs/promises';
import { dirname, join, resolve } from 'node:path';
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

/** Makes the relay one script that starts fast: what isn't in it need not be found, read and run. */
async function writeScript(outfile) {
  await build({
    entryPoints: [
      fileURLToPath(new URL('../platform/src/bin/apricotrill-relay.bundle.ts', import.meta.url)),
    ],
    outfile,
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
}

/**
 * Replaces the files of the daemon by whole ones, since daemons may start meanwhile. Each state in between
 * can be started: the loader runs every script, and uses no compiled code of another script.
 */
async function replaceFiles(target, staging) {
  const base = target.replace(/\.cjs$/, '');
  const script = join(staging, 'main.cjs');
  const loader = join(staging, 'loader.cjs');
  await writeScript(script);
  await copyFile(LOADER, loader);
  await rename(loader, target);
  await rename(script, `${base}.main.cjs`);
  await rm(`${base}.code`, { force: true, recursive: true });
}

async function main(target) {
  const folder = dirname(target);
  await mkdir(folder, { recursive: true });
  const staging = await mkdtemp(join(folder, '.bundle-'));
  try {
    await replaceFiles(target, staging);
  } finally {
    await rm(staging, { recursive: true, force: true });
  }
}

const target = resolve(process.argv[2] ?? TARGET);
try {
  await main(target);
} catch (error) {
  process.stderr.write(`can not build ${target}: ${error.message}\n`);
  process.exitCode = 1;
}
