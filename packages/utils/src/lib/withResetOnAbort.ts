import type { Socket } from 'node:net';
import { resetOnAbort } from './resetOnAbort.js';

type ConnectCallback = (...result: [null, Socket] | [Error, null]) => void;

/** A function that opens connections for the HTTP client. */
export type Connector<Options> = (options: Options, callback: ConnectCallback) => void;

/**
 * Returns a connector whose connections are reset when a request on them is aborted.
 *
 * @example
 * ```ts
 * new Pool(origin, { connect: withResetOnAbort(buildConnector({ timeout })) });
 * ```
 * @public
 */
export function withResetOnAbort<Options>(connect: Connector<Options>): Connector<Options> {
  return (options, callback) => {
    connect(options, (...[error, socket]) => {
      if (error === null) {
        callback(null, resetOnAbort(socket));
      } else {
        callback(error, null);
      }
    });
  };
}
