import type { IncomingMessage, ServerResponse } from 'node:http';

/** Handles one request, at once or in a promise. */
export type Handler = (request: IncomingMessage, response: ServerResponse) => unknown;

const INTERNAL_ERROR = 500;

/**
 * Wraps the handler of a server, so that an error of the handler fails its request alone. An error that leaves a
 * handler ends the process, whether it is thrown or rejects a promise.
 *
 * @param handler - the handler of all requests of a server
 * @param onFault - called with the error
 * @example
 * ```ts
 * const server = createServer(guardHandler(handler, (error) => log(getErrorText(error))));
 * ```
 * @public
 */
export function guardHandler(
  handler: Handler,
  onFault: (error: unknown) => void,
): (request: IncomingMessage, response: ServerResponse) => void {
  return (request, response) => {
    const fail = (error: unknown) => {
      onFault(error);
      if (response.headersSent) {
        response.destroy();
        return;
      }
      request.resume();
      response.statusCode = INTERNAL_ERROR;
      response.end();
    };
    try {
      Promise.resolve(handler(request, response)).catch(fail);
    } catch (error) {
      fail(error);
    }
  };
}
