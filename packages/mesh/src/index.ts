export { Mesh } from './lib/Mesh/Mesh.js';
export type { MeshSettings } from './lib/Mesh/Mesh.js';
export type { MeshContext, MeshHandler } from './lib/MeshServer/MeshServer.js';
export { MeshError, MeshFailure } from './lib/MeshError.js';
export { meshOptions } from './lib/meshOptions.js';
export type { MeshOptions } from './lib/meshOptions.js';
export { TrafficCounters } from './lib/TrafficCounters/TrafficCounters.js';
export type { TopicTraffic } from './lib/TrafficCounters/TrafficCounters.js';
