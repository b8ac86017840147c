/* eslint-disable import-x/prefer-default-export --
   Node needs the extensions of modules; the steps of a case follow each other */
// A link between a daemon and the platform that can be cut, as TCP meets a cut: what is sent on an open
// connection is kept and sent again later, with pauses that double from 200 ms; the opening packet of a
// new connection is lost. What a sender has reset is never sent again.
import { connect, createServer } from 'node:net';
import { setTimeout } from 'node:timers';

const FIRST_RETRANSMISSION_MS = 200;

/** Returns the first time at which bytes written at `sentAt` are sent again after the link is back. */
function getRetransmission(sentAt, healedAt) {
  let at = sentAt;
  for (let pause = FIRST_RETRANSMISSION_MS; at < healedAt; pause *= 2) {
    at += pause;
  }
  return at;
}

export class Link {
  cutAt = undefined;

  sockets = new Set();

  /** Bytes that were sent into the cut, by connection. */
  held = [];

  constructor(target, note) {
    Object.assign(this, { target, note });
    this.server = createServer((client) => this.open(client));
  }

  async listen() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  open(client) {
    this.sockets.add(client);
    client.on('error', () => undefined);
    client.once('close', () => this.sockets.delete(client));
    if (this.cutAt !== undefined) {
      // Its opening packet would be lost: nothing that it carries ever arrives.
      client.resume();
      return;
    }
    const [host, port] = this.target.split(':');
    const upstream = connect(Number(port), host);
    this.sockets.add(upstream);
    const entry = {
      client,
      upstream,
      chunks: [],
      isReset: false,
      hasEnded: false,
      sentAt: undefined,
    };
    upstream.on('error', () => client.destroy());
    upstream.once('close', () => this.sockets.delete(upstream));
    upstream.on('data', (bytes) => {
      if (this.cutAt === undefined && !client.destroyed) {
        client.write(bytes);
      }
    });
    upstream.once('end', () => {
      if (this.cutAt === undefined) {
        client.end();
      }
    });
    client.on('data', (bytes) => {
      if (this.cutAt === undefined && entry.sentAt === undefined) {
        upstream.write(bytes);
        return;
      }
      entry.sentAt ??= Date.now();
      entry.chunks.push(bytes);
      if (!this.held.includes(entry)) {
        this.held.push(entry);
      }
    });
    client.once('error', () => {
      entry.isReset = true;
    });
    client.once('end', () => {
      entry.hasEnded = true;
      if (this.cutAt === undefined && entry.sentAt === undefined) {
        upstream.end();
      }
    });
  }

  cut() {
    this.cutAt = Date.now();
  }

  heal() {
    const now = Date.now();
    this.cutAt = undefined;
    this.held.splice(0).forEach((entry) => {
      const at = getRetransmission(entry.sentAt, now);
      setTimeout(() => {
        if (entry.isReset || entry.upstream.destroyed) {
          this.note('bytes held by the cut are lost: their sender has reset the connection');
          return;
        }
        this.note(
          `bytes sent ${Date.now() - entry.sentAt} ms ago are sent again, ${Date.now() - now} ms after the link is back`,
        );
        entry.chunks.forEach((bytes) => entry.upstream.write(bytes));
        if (entry.hasEnded) {
          entry.upstream.end();
        }
      }, at - now);
    });
  }

  close() {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }
}
