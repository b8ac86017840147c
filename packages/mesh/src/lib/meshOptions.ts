import type { Milliseconds } from '@apricotrill/utils';

/**
 * Options of the messaging between daemons.
 *
 * @public
 */
export interface MeshOptions {
  /** Timeout of a call whose caller gives none. */
  callTimeout: Milliseconds;
  /** How long a connection with calls in flight may be idle before it is pinged. */
  keepaliveInterval: Milliseconds;
  /** Timeout for the response to a ping, after which the connection is closed. */
  keepaliveTimeout: Milliseconds;
  /** Maximum number of open channels; the least recently used one without calls is closed. */
  maxChannels: number;
  /** Maximum size of a message or response, in bytes; larger ones are rejected. */
  maxMessageBytes: number;
  /** Maximum number of concurrent calls from one peer. */
  maxConcurrentCalls: number;
}

/**
 * The defaults. A channel uses about 60 kB of memory at each end, so 64 channels are a small part of
 * a daemon's memory. A part of the configuration is far smaller than the message limit.
 *
 * @public
 */
export const defaultMeshOptions: MeshOptions = {
  callTimeout: 2000,
  keepaliveInterval: 2000,
  keepaliveTimeout: 1500,
  maxChannels: 64,
  maxMessageBytes: 2 * 1024 * 1024,
  maxConcurrentCalls: 256,
};
