const process = require('node:process');

const isDaemon = require.main === module;
if (isDaemon) {
  // Without a handler, SIGHUP ends the process. Handlers are called after the script below has run, which
  // adds the one that reloads the settings.
  process.on('SIGHUP', () => undefined);
}

/**
 * Runs the script beside this file, `NAME.main.cjs`, from its compiled code, `NAME.code`, which shortens
 * the start. V8 verifies neither that the code belongs to the script, of which it compares only the length,
 * nor that the code is intact. So a header states what the code belongs to; where it doesn't match, the
 * script is compiled anew, and the log says why.
 */
const { Buffer } = require('node:buffer');
const { readFileSync, statSync, writeSync } = require('node:fs');
const path = require('node:path');
const v8 = require('node:v8');
const { Script } = require('node:vm');
const zlib = require('node:zlib');

/** V8 copies code that is not aligned. */
const ALIGNMENT = 8;

const END_OF_HEADER = '\n';

/** A checksum is sufficient, as it has to detect accidents, not attacks. Missing before Node.js 20.15. */
const { crc32 } = zlib;

/** Tells builds of the same version of Node.js apart; undefined if it can't be read. */
function getExecutableSize() {
  return statSync(process.execPath, { throwIfNoEntry: false })?.size;
}

/** What the compiled code depends on, and the code itself. */
function describeCode(source, code) {
  return {
    script: crc32(source),
    node: process.version,
    executable: getExecutableSize(),
    v8: v8.cachedDataVersionTag(),
    architecture: process.arch,
    platform: process.platform,
    flags: process.execArgv.join(' '),
    code: crc32(code),
  };
}

/** Creates the content of the file of the compiled code. */
function encodeCode(source, code) {
  const header = JSON.stringify(describeCode(source, code));
  const length = Math.ceil((header.length + END_OF_HEADER.length) / ALIGNMENT) * ALIGNMENT;
  return Buffer.concat([
    Buffer.from(header.padEnd(length - END_OF_HEADER.length) + END_OF_HEADER),
    code,
  ]);
}

function parseHeader(header) {
  try {
    return Object(JSON.parse(header));
  } catch {
    return undefined;
  }
}

/** Reads the compiled code of a script: the code, or the reason why it can't be used. */
function readCode(source, codePath) {
  if (crc32 === undefined) {
    return { reason: `Node.js ${process.version} has no zlib.crc32` };
  }
  let content;
  try {
    content = readFileSync(codePath);
  } catch ({ code }) {
    return { reason: `can not be read: ${code}` };
  }
  const length = content.indexOf(END_OF_HEADER) + END_OF_HEADER.length;
  const found = parseHeader(content.toString('latin1', 0, length));
  if (found === undefined) {
    return { reason: 'header is damaged' };
  }
  const code = content.subarray(length);
  const expected = describeCode(source, code);
  const different = Object.keys(expected).find((key) => found[key] !== expected[key]);
  return different === undefined
    ? { code }
    : { reason: `${different} is ${expected[different]}, not ${found[different]}` };
}

/** Compiles a script, with compiled code if there is any. */
function compile(scriptPath, source, code) {
  return new Script(`(function (exports, require, module, __filename, __dirname) {${source}\n})`, {
    filename: scriptPath,
    cachedData: code,
  });
}

/** Loads a script from its compiled code, or else compiles it, and states the reason. */
function load(scriptPath, codePath) {
  const source = readFileSync(scriptPath);
  const { code, reason } = readCode(source, codePath);
  const script = compile(scriptPath, source, code);
  return { script, reason: script.cachedDataRejected ? 'rejected by V8' : reason };
}

function run(scriptPath, script) {
  script.runInThisContext()(exports, require, module, scriptPath, path.dirname(scriptPath));
}

function logUnused(reason) {
  const line = { level: 'warn', time: Date.now(), event: 'compiled-code-unused', reason };
  try {
    writeSync(1, `${JSON.stringify(line)}\n`);
  } catch {
    // The daemon starts without a reader of its log.
  }
}

const base = __filename.replace(/\.cjs$/, '');
const scriptPath = `${base}.main.cjs`;
const codePath = `${base}.code`;

if (isDaemon) {
  const { script, reason } = load(scriptPath, codePath);
  if (reason !== undefined) {
    logUnused(reason);
  }
  run(scriptPath, script);
} else {
  /** For the tool that writes the compiled code. */
  module.exports = { scriptPath, codePath, compile, encodeCode, load, run };
}
