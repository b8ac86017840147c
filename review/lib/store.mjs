/* eslint-disable import-x/prefer-default-export, no-restricted-syntax --
   Node needs the extensions of modules; the steps of a case follow each other */
// A stand-in for the platform's metadata store, by the page PROTOCOL: objects by kind and name, one
// revision counter, lists, long-polling watches and conditional writes.
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { Buffer } from 'node:buffer';

const OBJECT_PATH = /^\/apricotrill\/objects\/([^/?]+)(?:\/([^/?]+))?(\/status)?$/;

async function readJson(request) {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  return chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString());
}

function send(response, status, value) {
  const body = response.view(JSON.stringify(value));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}

/** The platform's store. */
export class Store {
  revision = 10;

  kinds = new Map();

  history = [];

  watches = new Set();

  servers = [];

  async listen() {
    this.address = await this.listenAs((text) => text);
  }

  /** @param view - how the readers at this address see the text of a response */
  async listenAs(view) {
    const server = createServer((request, response) => {
      this.handle(request, Object.assign(response, { view })).catch(() => response.destroy());
    });
    this.servers.push(server);
    await new Promise((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${server.address().port}`;
  }

  close() {
    this.servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  }

  getKind(kind) {
    const objects = this.kinds.get(kind) ?? new Map();
    this.kinds.set(kind, objects);
    return objects;
  }

  put(kind, name, spec) {
    this.revision += 1;
    const { revision } = this;
    const created = this.getKind(kind).get(name)?.metadata.created ?? revision;
    const metadata = { name, revision, created, finalizers: [], deletionPending: false };
    const object = { metadata, spec, status: null };
    this.getKind(kind).set(name, object);
    this.record({ kind, revision, object, deleted: false });
    return object;
  }

  delete(kind, name) {
    const object = this.getKind(kind).get(name);
    if (object !== undefined) {
      this.revision += 1;
      this.getKind(kind).delete(name);
      this.record({ kind, revision: this.revision, object, deleted: true });
    }
  }

  record(change) {
    this.history.push(change);
    [...this.watches].forEach((wake) => wake());
  }

  async handle(request, response) {
    const body = await readJson(request);
    const url = new URL(request.url, 'http://store');
    const match = OBJECT_PATH.exec(url.pathname);
    if (match === null) {
      send(response, 404, {});
      return;
    }
    const [, kind, name] = match;
    if (request.method !== 'GET') {
      this.write(request.method, kind, name, body, response);
    } else if (name !== undefined) {
      const object = this.getKind(kind).get(name);
      send(response, object === undefined ? 404 : 200, object ?? {});
    } else if (url.searchParams.has('watch')) {
      this.watch(kind, url.searchParams, response);
    } else {
      const after = url.searchParams.get('after') ?? '';
      const entries = [...this.getKind(kind).values()]
        .filter(({ metadata }) => metadata.name > after)
        .sort((left, right) => (left.metadata.name < right.metadata.name ? -1 : 1));
      send(response, 200, { entries, hasMore: false, at: this.revision });
    }
  }

  write(method, kind, name, body, response) {
    const target = name ?? body?.metadata?.name ?? '';
    const current = this.getKind(kind).get(target);
    const expected = body?.metadata?.revision;
    const isStale = expected !== undefined && expected !== current?.metadata.revision;
    if (method === 'POST' ? current !== undefined : isStale) {
      send(response, 409, current ?? {});
    } else if (method !== 'POST' && current === undefined) {
      send(response, 404, {});
    } else if (method === 'DELETE') {
      this.delete(kind, target);
      send(response, 200, {});
    } else {
      send(response, 200, this.put(kind, target, body?.spec));
    }
  }

  watch(kind, query, response) {
    const from = Number(query.get('watch'));
    const state = {};
    const stop = () => {
      clearTimeout(state.timer);
      this.watches.delete(state.wake);
    };
    const respond = (isOver) => {
      const changes = this.history.filter(
        (change) => change.kind === kind && change.revision > from,
      );
      if (changes.length > 0 || isOver) {
        stop();
        const events = changes.map(({ object, deleted }) => ({ object, deleted }));
        send(response, 200, { events, at: this.revision });
      }
    };
    state.wake = () => respond(false);
    state.timer = setTimeout(() => respond(true), Number(query.get('waitMs') ?? 0));
    this.watches.add(state.wake);
    response.once('close', stop);
    respond(false);
  }
}
