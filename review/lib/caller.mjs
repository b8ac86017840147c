// A stand-in for a requester, by the page PROTOCOL: one request on a connection of its own.
import { request as httpRequest } from 'node:http';
import { Buffer } from 'node:buffer';

let counter = 0;

/** Returns an id that no other request has. */
export function createId() {
  counter += 1;
  return `r${Date.now().toString(16)}x${counter}`;
}

/**
 * Sends a request and resolves when it has ended: with the status, the body, whether the response was
 * complete, and the times of its events.
 */
export function call(
  address,
  { id = createId(), method = 'POST', path, headers = {}, body, agent = false, onData },
) {
  const [host, port] = address.split(':');
  const sentAt = Date.now();
  const result = {
    id,
    sentAt,
    status: undefined,
    signature: undefined,
    body: '',
    isComplete: false,
    events: [],
  };
  const state = {};
  result.leave = () => state.call.destroy();
  result.ended = new Promise((resolve) => {
    const finish = (error) => {
      result.endedAt ??= Date.now();
      result.error ??= error?.code ?? error?.message;
      resolve(result);
    };
    state.call = httpRequest(
      {
        host,
        port,
        method,
        path,
        agent,
        headers: {
          Host: 'ficu95.example',
          'X-Attempt-Id': id,
          Authorization: 'Bearer key-1',
          ...(body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }),
          ...headers,
        },
      },
      (response) => {
        result.status = response.statusCode;
        result.signature = response.headers['x-response-signature'];
        result.headers = response.headers;
        response.on('data', (bytes) => {
          result.body += bytes;
          result.lastDataAt = Date.now();
          onData?.(result);
        });
        response.once('end', () => {
          result.isComplete = response.complete;
          finish();
        });
        response.once('error', finish);
        response.once('close', () => finish());
      },
    );
    state.call.once('error', finish);
    state.call.end(body);
  });
  return result;
}
