/* eslint-disable import-x/prefer-default-export, no-restricted-syntax --
   Node needs the extensions of modules; the steps of a case follow each other */
// A stand-in for a replica, by the page PROTOCOL. What it does with a request is up to the case.
import { createServer } from 'node:http';
import { Buffer } from 'node:buffer';

/** A replica of a service. */
export class Replica {
  /** @param handle - called with each request that carries an id, once its body is read */
  constructor(id, service, handle, zone = 'heredia-a') {
    Object.assign(this, { id, service, handle, zone, version: 'v1', slots: 6, health: 200 });
    this.server = createServer((request, response) => {
      this.receive(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 20_000;
  }

  async listen(port = 0) {
    await new Promise((resolve) => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  getEntry(state = 'ready') {
    const { service, address, zone, version, slots } = this;
    return {
      backend: service,
      address,
      zone,
      version,
      maxConcurrency: slots,
      state,
      warmupLeftMs: 0,
      sequence: 1,
    };
  }

  /** Ends like a process that is killed: the port closes, and so do all connections. */
  crash() {
    this.server.close();
    this.server.closeAllConnections();
  }

  async receive(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const id = request.headers['x-attempt-id'];
    if (request.url.startsWith('/healthz')) {
      response.writeHead(this.health, { 'X-Replica-Id': this.id, 'content-length': 0 }).end();
    } else if (request.url.startsWith('/apricotrill/kv-events')) {
      response.writeHead(429, { 'content-length': 0 }).end();
    } else if (request.url.startsWith('/apricotrill/')) {
      response.writeHead(404, { 'content-length': 0 }).end();
    } else if (request.headers['x-expected-replica'] !== this.id) {
      response.writeHead(421, { 'X-Replica-Id': this.id, 'content-length': 0 }).end();
    } else {
      const body = Buffer.concat(chunks);
      this.handle({
        id,
        url: request.url,
        headers: request.headers,
        body,
        request,
        response,
        replica: this,
      });
    }
  }
}
