/**
 * Runs the script beside this file, `NAME.main.cjs`, from its compiled code, `NAME.code`, where that
 * was written by the same version of Node.js with the same flags; else it compiles the script anew.
 * After a loss of power all daemons start at once, and nobody is served until they have read it.
 */
const { readFileSync } = require('node:fs');
const path = require('node:path');
const { Script } = require('node:vm');

const base = __filename.replace(/\.cjs$/, '');
const filename = `${base}.main.cjs`;

function readCode() {
  try {
    return readFileSync(`${base}.code`);
  } catch {
    // There is none before the tool that writes it has run.
    return undefined;
  }
}

const source = readFileSync(filename, 'utf8');
const script = new Script(
  `(function (exports, require, module, __filename, __dirname) {${source}\n})`,
  { filename, cachedData: readCode() },
);

/** For the tool that writes the compiled code. */
module.exports = { script, codePath: `${base}.code` };

script.runInThisContext()(exports, require, module, filename, path.dirname(filename));
