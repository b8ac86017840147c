import type { ServerResponse } from 'node:http';
import { MAX_VALUE_BYTES } from '@apricotrill/store';
import type {
  CallCounters,
  ObjectStore,
  PutResult,
  StoreFaultInjector,
  StoredObject,
} from '@apricotrill/store';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import { getNumberQuery } from '../http/getNumberQuery.js';
import { readBody } from '../http/readBody.js';
import { BadRequestError } from '../http/requestErrors.js';
import { sendEmpty, sendJson } from '../http/sendJson.js';
import type { RequestHandler, RoutedRequest, StandinServer } from '../http/StandinServer.js';

const OBJECTS_PREFIX = '/objects/';

const DEFAULT_WATCH_WAIT_MS: Milliseconds = 30_000;

function getKey(request: RoutedRequest): string {
  return decodeURIComponent(request.path.slice(OBJECTS_PREFIX.length));
}

function getPrefix(request: RoutedRequest): string {
  return String(request.query.prefix ?? '');
}

/** Returns the version that a write expects; 0 if the object must not exist. */
function getExpectedVersion(request: RoutedRequest): number {
  if (request.headers['if-none-match'] === '*') {
    return 0;
  }
  const version = /^"(\d+)"$/.exec(request.headers['if-match'] ?? '')?.[1];
  if (version === undefined) {
    throw new BadRequestError('a write needs if-match with a quoted version, or if-none-match: *');
  }
  return Number(version);
}

function sendObject(response: ServerResponse, status: number, object: StoredObject): void {
  response.writeHead(status, {
    'content-type': 'text/plain; charset=utf-8',
    'content-length': Buffer.byteLength(object.value),
    etag: `"${object.version}"`,
  });
  response.end(object.value);
}

function sendWriteResult(response: ServerResponse, status: number, outcome: PutResult): void {
  if (outcome.kind === 'accepted') {
    sendEmpty(response, status, { etag: `"${outcome.version}"` });
  } else if (outcome.current === undefined) {
    sendEmpty(response, 412);
  } else {
    sendObject(response, 412, outcome.current);
  }
}

/** Serves the object store over HTTP, with fault injection. */
export class ObjectRoutes {
  readonly counters: CallCounters = { reads: 0, writes: 0, watches: 0, waitingWatches: 0 };

  constructor(
    private readonly server: StandinServer,
    private readonly objects: ObjectStore,
    private readonly faults: StoreFaultInjector,
    private readonly clock: Clock,
  ) {}

  register(): void {
    const { server } = this;
    server.route(
      'GET',
      '/objects',
      this.refuseWhileDown((request, response) => this.list(request, response)),
    );
    server.route(
      'GET',
      '/objects/*',
      this.refuseWhileDown((request, response) => this.get(request, response)),
    );
    server.route(
      'PUT',
      '/objects/*',
      this.refuseWhileDown((request, response) => this.put(request, response)),
    );
    server.route(
      'DELETE',
      '/objects/*',
      this.refuseWhileDown((request, response) => this.delete(request, response)),
    );
    server.route(
      'GET',
      '/watch',
      this.refuseWhileDown((request, response) => this.watch(request, response)),
    );
  }

  /** Wraps a handler so that connections break while the platform is down. */
  refuseWhileDown(handler: RequestHandler): RequestHandler {
    return (request, response) => {
      if (this.faults.isDown()) {
        response.destroy();
        return undefined;
      }
      return handler(request, response);
    };
  }

  private async list(request: RoutedRequest, response: ServerResponse): Promise<void> {
    this.counters.reads += 1;
    const objects = this.objects.list(getPrefix(request));
    await this.delay();
    sendJson(response, 200, { objects });
  }

  private async get(request: RoutedRequest, response: ServerResponse): Promise<void> {
    this.counters.reads += 1;
    const object = this.objects.get(getKey(request));
    await this.delay();
    if (object === undefined) {
      sendEmpty(response, 404);
    } else {
      sendObject(response, 200, object);
    }
  }

  private async put(request: RoutedRequest, response: ServerResponse): Promise<void> {
    const key = getKey(request);
    const expected = getExpectedVersion(request);
    const value = await readBody(request, MAX_VALUE_BYTES);
    const status = expected === 0 ? 201 : 200;
    await this.write(key, response, status, () => this.objects.put(key, value, expected));
  }

  private async delete(request: RoutedRequest, response: ServerResponse): Promise<void> {
    const key = getKey(request);
    const expected = getExpectedVersion(request);
    await this.write(key, response, 204, () => this.objects.delete(key, expected));
  }

  private async write(
    key: string,
    response: ServerResponse,
    status: number,
    applyWrite: () => PutResult,
  ): Promise<void> {
    this.counters.writes += 1;
    const writeFault = this.faults.consumeWriteOutcome(key);
    if (writeFault.kind === 'late') {
      this.clock.setTimer(writeFault.delayMs, applyWrite);
      response.destroy();
      return;
    }
    const result = applyWrite();
    if (writeFault.kind === 'answer-lost') {
      response.destroy();
      return;
    }
    await this.delay();
    sendWriteResult(response, status, result);
  }

  private watch(request: RoutedRequest, response: ServerResponse): void {
    const after = getNumberQuery(request, 'after', 0);
    const wait = getNumberQuery(request, 'waitMs', DEFAULT_WATCH_WAIT_MS);
    this.counters.watches += 1;
    this.counters.waitingWatches += 1;
    response.on('close', () => {
      this.counters.waitingWatches -= 1;
    });
    const cancelWatch = this.objects.watch(getPrefix(request), after, wait, async (changes) => {
      if (!this.faults.hasSilentWatches()) {
        await this.delay();
        sendJson(response, 200, { changes });
      }
    });
    response.on('close', cancelWatch);
  }

  /** Waits for the delay of an injected slowness. */
  private async delay(): Promise<void> {
    const delay = this.faults.getDelay();
    if (delay > 0) {
      await new Promise<void>((resolve) => {
        this.clock.setTimer(delay, resolve);
      });
    }
  }
}
