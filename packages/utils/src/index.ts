export { ByteCollector } from './lib/ByteCollector/ByteCollector.js';
export { assert } from './lib/assert.js';
export type { Clock, Milliseconds, Timer } from './lib/Clock.js';
export { ManualClock } from './lib/ManualClock.js';
export { SystemClock } from './lib/SystemClock.js';
export { StepError } from './lib/StepError.js';
export { decodePathSegment } from './lib/decodePathSegment.js';
export { exhaustiveSwitchError } from './lib/exhaustiveSwitchError.js';
export {
  getHash,
  getHashHex,
  getRendezvousOrder,
  getRendezvousScore,
  getWeightedRendezvousOrder,
} from './lib/hash.js';
export { parseSocketAddress } from './lib/parseSocketAddress.js';
export type { SocketAddress } from './lib/parseSocketAddress.js';
export { ReadGate } from './lib/ReadGate.js';
export { ConnectionUnusedError, resetOnAbort } from './lib/resetOnAbort.js';
export { withResetOnAbort } from './lib/withResetOnAbort.js';
export type { Connector } from './lib/withResetOnAbort.js';
export { createRandom } from './lib/random.js';
export type { Random } from './lib/random.js';
export { failure, success } from './lib/Result.js';
export type { Result } from './lib/Result.js';
