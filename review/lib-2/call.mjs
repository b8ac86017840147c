/* eslint-disable import-x/extensions -- plain modules are named in full */
import { Buffer } from 'node:buffer';
import { randomBytes } from 'node:crypto';
import { connect } from 'node:net';
import { clearTimeout, setTimeout } from 'node:timers';
import { readHead, readMessage } from './readMessage.mjs';

export function createAttemptId() {
  return randomBytes(8).toString('hex');
}

/**
 * Sends one request on a connection of its own and reads the response to its end.
 *
 * @returns the response; `isWhole` tells whether its framing shows that it is complete
 */
export function call({ host, port, method = 'GET', target, headers, body = '', timeoutMs }) {
  return new Promise((resolve) => {
    const sentAt = Date.now();
    let bytes = Buffer.alloc(0);
    let timer;
    const socket = connect(port, host, () => {
      const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
      const length = method === 'GET' ? [] : [`Content-Length: ${Buffer.byteLength(body)}`];
      socket.write([`${method} ${target} HTTP/1.1`, ...lines, ...length, '', body].join('\r\n'));
    });
    const finish = (end) => {
      clearTimeout(timer);
      socket.destroy();
      const message = readMessage(bytes) ?? readHead(bytes);
      const status = message === undefined ? undefined : Number(message.line.split(' ')[1]);
      resolve({
        status,
        headers: message?.headers,
        body: message?.body?.toString('latin1'),
        isWhole: message?.body !== undefined,
        end,
        sentAt,
        answeredAt: Date.now(),
      });
    };
    timer = setTimeout(() => finish('time limit'), timeoutMs);
    socket.on('data', (part) => {
      bytes = Buffer.concat([bytes, part]);
      if (readMessage(bytes) !== undefined) {
        finish('answered');
      }
    });
    socket.once('error', ({ code }) => finish(code));
    socket.once('close', () => finish('closed'));
  });
}
