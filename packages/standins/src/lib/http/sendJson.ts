import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';

/** Sends a JSON response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: OutgoingHttpHeaders = {},
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
}

/** Sends a response without a body. */
export function sendEmpty(
  response: ServerResponse,
  status: number,
  headers: OutgoingHttpHeaders = {},
): void {
  response.writeHead(status, headers);
  response.end();
}
