import { createServer } from 'node:http';
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { constants, gzipSync } from 'node:zlib';
import polka from 'polka';
import type { Milliseconds } from '@apricotrill/utils';
import type { RelayLog } from '../../observe/RelayEvent.js';
import type { SharedObjects, SharedState } from '../SharedObjects/SharedObjects.js';

/** Contains the version of the format; daemons with another version read the store themselves. */
export const OBJECTS_PATH = '/objects/v1';

/** Milliseconds since the state was the current one in the store, when the response was written. */
export const STATE_AGE_HEADER = 'x-state-age';

/** Settings of an object server. */
export interface ObjectServerSettings {
  log: RelayLog;
  /** Maximum wait of a request. */
  maxWait: Milliseconds;
  /** Called for each request, which means that another daemon uses this one as a reader. */
  onRequest: () => void;
}

/** Responses of at least this many characters are compressed, to save bandwidth and time. */
const MIN_COMPRESSED_LENGTH = 16_384;

const OK = 200;
const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;

function parseWait(text: string | null): Milliseconds | undefined {
  const wait = Number(text ?? '');
  return Number.isFinite(wait) && wait >= 0 ? wait : undefined;
}

/** Serves other daemons the objects that this daemon reads from the store. */
export class ObjectServer {
  private readonly kinds = new Map<string, SharedObjects<unknown>>();

  /** Handles the requests below {@link OBJECTS_PATH}. */
  readonly handler: RequestListener;

  /** The last serialized state of each kind, with what it depends on. */
  private readonly lastTexts = new Map<string, { key: string; text: string }>();

  /** The last compressed response. */
  private lastCompressed: { text: string; bytes: Buffer } | undefined;

  constructor(private readonly settings: ObjectServerSettings) {
    const app = polka({ server: createServer() });
    app.get(`${OBJECTS_PATH}/:kind`, (request, response) => {
      this.handleRequest(String(request.params.kind), request, response).catch((error: unknown) => {
        settings.log({ event: 'fault', step: 'tell objects', error: String(error) });
        response.destroy();
      });
    });
    this.handler = app.handler.bind(app) as unknown as RequestListener;
  }

  add(kind: string, objects: SharedObjects<unknown>): void {
    this.kinds.set(kind, objects);
  }

  dispose(): void {
    this.kinds.forEach((objects) => objects.finishPendingQueries());
  }

  private async handleRequest(
    kind: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const query = new URLSearchParams((request.url ?? '').split('?')[1]);
    const wait = parseWait(query.get('wait'));
    const objects = this.kinds.get(kind);
    if (objects === undefined || wait === undefined) {
      response.statusCode = objects === undefined ? NOT_FOUND : BAD_REQUEST;
      response.end();
      return;
    }
    const { maxWait, onRequest } = this.settings;
    onRequest();
    const since = query.get('since') ?? '';
    const state = await objects.getState(since, Math.min(wait, maxWait));
    response.setHeader('content-type', 'application/json');
    if (state === undefined) {
      response.statusCode = UNAVAILABLE;
      response.end(JSON.stringify({ reason: 'the store gives this daemon no answer' }));
      return;
    }
    response.statusCode = OK;
    response.setHeader(STATE_AGE_HEADER, String(Math.ceil(objects.age)));
    const isCompressed = request.headers['accept-encoding'] === 'gzip';
    this.writeState(response, this.serialize(kind, since, state), isCompressed);
  }

  /** Serializes a state once for all daemons of a group, which request the same one at the same time. */
  private serialize(kind: string, since: string, state: SharedState<unknown>): string {
    const { token, revision, era } = state;
    const key = [since, token, revision, era].join(' ');
    const last = this.lastTexts.get(kind);
    if (last?.key === key) {
      return last.text;
    }
    const text = JSON.stringify(state);
    this.lastTexts.set(kind, { key, text });
    return text;
  }

  /**
   * Writes a state. The last compressed text is reused, since all daemons of a group request the same
   * state at the same time.
   */
  private writeState(response: ServerResponse, text: string, isCompressed: boolean): void {
    if (!isCompressed || text.length < MIN_COMPRESSED_LENGTH) {
      response.end(text);
      return;
    }
    if (this.lastCompressed?.text !== text) {
      this.lastCompressed = { text, bytes: gzipSync(text, { level: constants.Z_BEST_SPEED }) };
    }
    response.setHeader('content-encoding', 'gzip');
    response.end(this.lastCompressed.bytes);
  }
}
