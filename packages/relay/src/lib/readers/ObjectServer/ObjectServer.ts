import { createServer } from 'node:http';
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import { constants, gzipSync } from 'node:zlib';
import polka from 'polka';
import type { Milliseconds } from '@apricotrill/utils';
import type { RelayLog } from '../../observe/RelayEvent.js';
import type { SharedObjects } from '../SharedObjects/SharedObjects.js';

/** Names the form of the answers: daemons of another form read the store themselves. */
export const OBJECTS_PATH = '/objects/v1';

/** What the server is made of. */
export interface ObjectServerParts {
  log: RelayLog;
  /** The longest that a call may wait. */
  maxWait: Milliseconds;
  /** Another daemon takes this one for a reader. */
  onRequest: () => void;
}

/** Characters from which on an answer is compressed: daemons have slow links and little time. */
const LEAST_COMPRESSED = 16_384;

const OK = 200;
const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;

function parseWait(text: string | null): Milliseconds | undefined {
  const wait = Number(text ?? '');
  return Number.isFinite(wait) && wait >= 0 ? wait : undefined;
}

/** Tells other daemons what this one reads from the store. */
export class ObjectServer {
  private readonly kinds = new Map<string, SharedObjects<unknown>>();

  private readonly server: Server;

  /** What was compressed last. */
  private last: { text: string; bytes: Buffer } | undefined;

  constructor(private readonly parts: ObjectServerParts) {
    const app = polka({ server: createServer() });
    app.get(`${OBJECTS_PATH}/:kind`, (request, response) => {
      this.answer(String(request.params.kind), request, response).catch((error: unknown) => {
        parts.log({ event: 'fault', step: 'tell objects', error: String(error) });
        response.destroy();
      });
    });
    this.server = createServer(app.handler.bind(app) as unknown as RequestListener);
  }

  add(kind: string, objects: SharedObjects<unknown>): void {
    this.kinds.set(kind, objects);
  }

  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  dispose(): void {
    this.kinds.forEach((objects) => objects.release());
    this.server.close();
    this.server.closeAllConnections();
  }

  private async answer(
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
    const { maxWait: longestWait, onRequest: onAsked } = this.parts;
    onAsked();
    const state = await objects.ask(query.get('since') ?? '', Math.min(wait, longestWait));
    response.setHeader('content-type', 'application/json');
    if (state === undefined) {
      response.statusCode = UNAVAILABLE;
      response.end(JSON.stringify({ reason: 'the store gives this daemon no answer' }));
      return;
    }
    response.statusCode = OK;
    const isCompressed = request.headers['accept-encoding'] === 'gzip';
    this.writeState(response, JSON.stringify(state), isCompressed);
  }

  /** All daemons of a group ask for the same at the same moment. */
  private writeState(response: ServerResponse, text: string, isCompressed: boolean): void {
    if (!isCompressed || text.length < LEAST_COMPRESSED) {
      response.end(text);
      return;
    }
    if (this.last?.text !== text) {
      this.last = { text, bytes: gzipSync(text, { level: constants.Z_BEST_SPEED }) };
    }
    response.setHeader('content-encoding', 'gzip');
    response.end(this.last.bytes);
  }
}
