export { DemoCommand } from './lib/DemoCommand.js';
