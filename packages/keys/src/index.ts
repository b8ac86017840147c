export { checkKeyMaterial } from './lib/checkKeyMaterial.js';
export { KeyError } from './lib/KeyError.js';
export { KeyFiles } from './lib/KeyFiles/KeyFiles.js';
export type { KeyEvent, KeyFileNames, KeySettings } from './lib/KeyFiles/KeyFiles.js';
export type { KeyMaterial, KeySource } from './lib/KeyMaterial.js';
