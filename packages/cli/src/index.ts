export { createCli } from './lib/createCli.js';
export { ExitCode } from './lib/ExitCode.js';
export type { OpenStore, OperatorContext } from './lib/OperatorContext.js';
