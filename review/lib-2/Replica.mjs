/* eslint-disable import-x/extensions -- plain modules are named in full */
import { Buffer } from 'node:buffer';
import { createHash } from 'node:crypto';
import { createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { readMessage } from './readMessage.mjs';

const REASONS = {
  200: 'OK',
  421: 'Misdirected Request',
  500: 'Internal Server Error',
  503: 'Service Unavailable',
};

export function getSignature(replica, attempt, body) {
  return createHash('sha256').update(`${replica} ${attempt} ${body}`).digest('hex').slice(0, 24);
}

/** Formats a whole response with a length. */
export function formatResponse(status, headers, body) {
  const lines = [
    `HTTP/1.1 ${status} ${REASONS[status] ?? 'Other'}`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    `Content-Length: ${Buffer.byteLength(body)}`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** A replica of a plain service, as the page PROTOCOL describes it. */
export class Replica {
  /**
   * @param settings.onArrival - called with each request, health checks excepted, before it runs
   * @param settings.respond - writes the response to a request that has run; a whole one if absent
   */
  constructor({ id, service, zone, slots = 6, workMs = 20, onArrival, respond }) {
    Object.assign(this, { id, service, zone, slots, workMs, onArrival, respond });
    this.sequence = 1;
    this.running = 0;
    this.sockets = new Set();
    this.server = createServer((socket) => this.accept(socket));
  }

  async listen(host = '127.0.0.1', port = 0) {
    await new Promise((resolve) => {
      this.server.listen(port, host, resolve);
    });
    this.host = host;
    this.port = this.server.address().port;
  }

  /** Its entry in the store. */
  entry(state = 'ready') {
    return {
      backend: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      maxConcurrency: this.slots,
      state,
      warmupLeftMs: 0,
      sequence: this.sequence,
    };
  }

  /** @returns its entry as it writes it at its next check-in */
  checkIn() {
    this.sequence += 1;
    return this.entry();
  }

  close() {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  accept(socket) {
    this.sockets.add(socket);
    let bytes = Buffer.alloc(0);
    let isBusy = false;
    socket.on('error', () => undefined);
    socket.once('close', () => this.sockets.delete(socket));
    const next = () => {
      const message = isBusy ? undefined : readMessage(bytes);
      if (message === undefined) {
        return;
      }
      bytes = bytes.subarray(message.end);
      isBusy = true;
      this.handle(socket, message).then(
        () => {
          isBusy = false;
          next();
        },
        () => socket.destroy(),
      );
    };
    socket.on('data', (part) => {
      bytes = Buffer.concat([bytes, part]);
      next();
    });
  }

  async handle(socket, { line, headers, body }) {
    const [method, target] = line.split(' ');
    const load = `${this.running},0,${this.slots}`;
    if (target === '/healthz') {
      const named = { 'X-Replica-Id': this.id, 'X-Replica-Load': load };
      socket.write(formatResponse(200, named, ''));
      return;
    }
    const attempt = headers.get('x-attempt-id');
    const echo = { 'X-Attempt-Id': attempt, 'X-Replica-Load': load };
    const expected = headers.get('x-expected-replica');
    if (expected !== undefined && expected !== this.id) {
      socket.write(formatResponse(421, { ...echo, 'X-Replica-Id': this.id }, ''));
      return;
    }
    const request = { replica: this.id, attempt, method, target, headers, body };
    this.onArrival?.(request);
    if (this.running >= this.slots * 3) {
      socket.write(formatResponse(503, { ...echo, 'X-Not-Executed': '1' }, ''));
      return;
    }
    this.running += 1;
    await sleep(this.workMs);
    this.running -= 1;
    if (this.respond !== undefined) {
      await this.respond(socket, request, echo);
      return;
    }
    const text = `${this.id} ran ${attempt}`;
    const signed = { ...echo, 'X-Response-Signature': getSignature(this.id, attempt, text) };
    socket.write(formatResponse(200, signed, text));
  }
}
