export { bindTo } from './lib/bindTo.js';
export { guardHandler } from './lib/guardHandler.js';
export type { Handler } from './lib/guardHandler.js';
export { isTransient } from './lib/isTransient.js';
export type { LifecycleEvent } from './lib/LifecycleEvent.js';
export { listenOn } from './lib/listenOn.js';
export { PortOpener, portOptions } from './lib/PortOpener/PortOpener.js';
export type { PortHolder, PortOpenerParts } from './lib/PortOpener/PortOpener.js';
