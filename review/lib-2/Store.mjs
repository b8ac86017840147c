import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const PREFIX = '/apricotrill/objects/';

/** Maximum number of entries of one page of a list. */
const PAGE = 500;

async function readJson(request) {
  const chunks = await request.toArray();
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

function send(response, status, body) {
  const text = JSON.stringify(body ?? {});
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** The platform's store, as the page PROTOCOL describes it. It is sound: all disruptions are outside of it. */
// eslint-disable-next-line import-x/prefer-default-export -- as in all of this project
export class Store {
  constructor() {
    this.revision = 100;
    this.kinds = new Map();
    this.events = [];
    this.waiting = new Set();
    this.server = createServer({ keepAliveTimeout: 30_000 }, (request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
  }

  async listen() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.port = this.server.address().port;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  kind(name) {
    if (!this.kinds.has(name)) {
      this.kinds.set(name, new Map());
    }
    return this.kinds.get(name);
  }

  /** Creates or replaces an object. */
  put(kind, name, spec) {
    const existing = this.kind(kind).get(name);
    if (existing !== undefined && JSON.stringify(existing.spec) === JSON.stringify(spec)) {
      return existing;
    }
    this.revision += 1;
    const metadata = {
      name,
      revision: this.revision,
      created: existing?.metadata.created ?? this.revision,
      finalizers: [],
      deletionPending: false,
    };
    const object = { metadata, spec, status: null };
    this.kind(kind).set(name, object);
    this.record(kind, object, false);
    return object;
  }

  remove(kind, name) {
    const object = this.kind(kind).get(name);
    if (object === undefined) {
      return;
    }
    this.kind(kind).delete(name);
    this.revision += 1;
    const metadata = { ...object.metadata, revision: this.revision };
    this.record(kind, { ...object, metadata }, true);
  }

  record(kind, object, deleted) {
    this.events.push({ kind, revision: this.revision, event: { object, deleted } });
    [...this.waiting].filter((watch) => watch.kind === kind).forEach((watch) => watch.answer());
  }

  /** Cuts off the watches that wait. @returns how many there were */
  cutWatches() {
    const watches = [...this.waiting];
    watches.forEach((watch) => watch.cut());
    return watches.length;
  }

  watch(response, kind, since, wait) {
    const since2 = () =>
      this.events.filter((entry) => entry.kind === kind && entry.revision > since);
    const answer = () =>
      send(response, 200, { events: since2().map(({ event }) => event), at: this.revision });
    if (since2().length > 0) {
      answer();
      return;
    }
    const entry = { kind };
    const end = () => {
      clearTimeout(entry.timer);
      this.waiting.delete(entry);
    };
    entry.answer = () => {
      end();
      answer();
    };
    entry.cut = () => {
      end();
      response.destroy();
    };
    entry.timer = setTimeout(entry.answer, wait);
    response.once('close', end);
    this.waiting.add(entry);
  }

  async handle(request, response) {
    const url = new URL(request.url, 'http://store');
    if (!url.pathname.startsWith(PREFIX)) {
      send(response, 404);
      return;
    }
    const [kind, name] = url.pathname.slice(PREFIX.length).split('/').map(decodeURIComponent);
    const { searchParams } = url;
    if (request.method === 'GET') {
      this.read(response, kind, name, searchParams);
      return;
    }
    const body = request.method === 'DELETE' ? undefined : await readJson(request);
    this.write(response, request.method, kind, name ?? body?.metadata?.name, {
      isNamed: name !== undefined,
      spec: body?.spec,
      revision: body?.metadata?.revision ?? searchParams.get('revision') ?? undefined,
    });
  }

  read(response, kind, name, searchParams) {
    if (name !== undefined) {
      const object = this.kind(kind).get(name);
      send(response, object === undefined ? 404 : 200, object);
      return;
    }
    if (searchParams.has('watch')) {
      const wait = Math.min(30_000, Number(searchParams.get('waitMs') ?? 0));
      this.watch(response, kind, Number(searchParams.get('watch')), wait);
      return;
    }
    const after = searchParams.get('after') ?? '';
    const names = [...this.kind(kind).keys()].sort().filter((other) => other > after);
    const entries = names.slice(0, PAGE).map((other) => this.kind(kind).get(other));
    send(response, 200, { entries, hasMore: names.length > PAGE, at: this.revision });
  }

  write(response, method, kind, name, { isNamed, spec, revision }) {
    const existing = this.kind(kind).get(name);
    if (method === 'POST' && !isNamed) {
      if (existing === undefined) {
        send(response, 200, this.put(kind, name, spec));
      } else {
        send(response, 409, existing);
      }
      return;
    }
    if (existing === undefined) {
      send(response, 404);
    } else if (revision !== undefined && Number(revision) !== existing.metadata.revision) {
      send(response, 409, existing);
    } else if (method === 'DELETE') {
      this.remove(kind, name);
      send(response, 200, existing);
    } else {
      send(response, 200, this.put(kind, name, spec));
    }
  }
}
