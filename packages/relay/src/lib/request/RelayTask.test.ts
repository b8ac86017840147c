import { ManualClock } from '@apricotrill/utils';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { createReplica } from '../../test/fixtures.js';
import { RouteKind } from '../config/RelayConfiguration.js';
import { Outcome } from '../decide/messages.js';
import type { PlacementEffect, PlacementMessage } from '../decide/messages.js';
import { ResponseFraming } from '../framing/getResponseFraming.js';
import { HeldBytes } from '../memory/HeldBytes/HeldBytes.js';
import { ResponseBuffers } from '../memory/ResponseBuffers/ResponseBuffers.js';
import type { RelayEvent } from '../observe/RelayEvent.js';
import { RelayMetrics } from '../observe/RelayMetrics.js';
import type { OutgoingAttempt } from '../transport/SentAttempt/SentAttempt.js';
import { RelayTask } from './RelayTask.js';
import type { RelayTaskParts } from './RelayTask.js';

const EVENT = 'id: 1\ndata: a\n\n';

const HEAD = { status: 200, rawHeaders: ['A', 'b'], framing: ResponseFraming.Chunked };

const FIELDS = {
  requestId: 'c-1',
  isSigned: true,
  isRefusal: false,
  isMisdirected: false,
  load: { running: 1, waiting: 0, slots: 2 },
  limit: undefined,
  isLeaving: true,
  backoff: { kind: 'span', span: 1 },
  threshold: undefined,
};

const SEND = {
  kind: 'send',
  id: 'c-1',
  attempt: 1,
  replica: createReplica('i-1'),
  choice: { missingTokens: 0 },
} as unknown as Extract<PlacementEffect, { kind: 'send' }>;

/** Parts of a task that a test replaces. */
type Replacements = Partial<Record<keyof RelayTaskParts, unknown>>;

describe('RelayTask', () => {
  let server: Server;
  let lines: RelayEvent[];
  let messages: PlacementMessage[];
  let sent: OutgoingAttempt;
  let isAborted: boolean;

  beforeEach(() => {
    lines = [];
    messages = [];
    isAborted = false;
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  /** Sends a request to a server, and returns its response there and what its caller receives. */
  async function open(): Promise<{ response: ServerResponse; received: Promise<string> }> {
    server = createServer();
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    socket.write('GET /chat/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n');
    let text = '';
    socket.on('data', (bytes) => {
      text += bytes.toString();
    });
    socket.on('error', () => undefined);
    const received = once(socket, 'close').then(() => text);
    const [, response] = (await once(server, 'request')) as [unknown, ServerResponse];
    return { response, received };
  }

  function createTask(response: ServerResponse, replacements: Replacements): RelayTask {
    const held = new HeldBytes();
    const route = { name: 'chat', kind: RouteKind.Stream, resumable: true, targets: [] };
    const fields = { requestId: 'c-1' };
    return new RelayTask({
      request: { id: 'c-1', service: 'app', route, fields, arrivedAt: 0, rawHeaders: [] },
      response,
      holding: held.open(),
      buffers: new ResponseBuffers({ held, isExceeded: () => false }),
      protocol: { readResponse: () => FIELDS, getUpstreamHeaders: () => [] },
      sender: {
        send: (attempt: OutgoingAttempt) => {
          sent = attempt;
          const abort = () => {
            isAborted = true;
          };
          return { replica: attempt.replica, abort, pause: () => undefined };
        },
      },
      clock: new ManualClock(),
      log: (line: RelayEvent) => lines.push(line),
      metrics: new RelayMetrics(),
      dispatch: (message: PlacementMessage) => messages.push(message),
      maySend: () => true,
      onAttemptSent: () => undefined,
      onRefused: () => undefined,
      onAttemptEnded: () => undefined,
      onStreamStarted: () => undefined,
      onRunStarted: () => undefined,
      onUnreadable: () => undefined,
      onFinished: () => undefined,
      ...replacements,
    } as unknown as RelayTaskParts);
  }

  /** Passes the events of a response on as an exchange does: what throws ends the exchange. */
  function receive(...steps: (() => void)[]): void {
    try {
      steps.forEach((step) => step());
    } catch (error) {
      sent.onFault(error);
    }
  }

  function receiveStream(): void {
    receive(
      () => sent.listener.onHead(HEAD),
      () => sent.listener.onBody(Buffer.from(EVENT)),
      () => sent.listener.onEnd(),
    );
  }

  // Guards against a resumed stream that is left open forever when its second replica fails.
  it.each([400, 404, 500, 503])('breaks off a stream that ends with status %i', async (status) => {
    const { response, received } = await open();
    const task = createTask(response, {});
    task.send(SEND);
    sent.listener.onHead(HEAD);
    sent.listener.onBody(Buffer.from(EVENT));
    sent.listener.onError(new Error('reset'), true);
    task.send({ ...SEND, attempt: 2 });
    sent.listener.onHead({ ...HEAD, status });
    sent.listener.onBody(Buffer.from('failed'));
    sent.listener.onEnd();
    task.complete();
    const text = await received;
    expect(text).toContain(EVENT);
    expect(text).not.toMatch(/failed|\r\n0\r\n\r\n$/);
    expect(lines.at(-1)).toMatchObject({ event: 'answered', status: 200, end: 'broken-off' });
    expect(lines.filter(({ event }) => event === 'fault')).toEqual([]);
  });

  /** Creates a function that throws when it is called, or when it is called with such a message. */
  function createFault(kind?: string) {
    return (message?: { kind: string }) => {
      if (kind === undefined || message?.kind === kind) {
        throw new Error('broken');
      }
    };
  }

  const faults: [string, Replacements][] = [
    ['reading a response', { protocol: { readResponse: createFault() } }],
    ['reporting what is unreadable', { onUnreadable: createFault() }],
    ['recording a stream', { onStreamStarted: createFault() }],
    ['recording an end', { onAttemptEnded: createFault() }],
    ...['load', 'leaving', 'backoff', 'first-byte-received', 'stream-started', 'attempt-ended'].map(
      (kind): [string, Replacements] => [`the message ${kind}`, { dispatch: createFault(kind) }],
    ),
  ];

  // Guards against an error in a callback that leaves the caller without an end of its response.
  it.each(faults)('ends the request if %s throws', async (_name, replacements) => {
    const { response, received } = await open();
    createTask(response, replacements).send(SEND);
    receiveStream();
    const text = await received;
    expect(text).toMatch(text.includes(EVENT) ? /^HTTP\/1\.1 200 / : /^HTTP\/1\.1 502 /);
    expect(text).not.toMatch(/\r\n0\r\n\r\n$/);
    const faultLines = lines.filter(({ event }) => event === 'fault');
    expect(faultLines).toHaveLength(1);
    expect(faultLines[0]).toMatchObject({
      id: 'c-1',
      error: expect.stringMatching(/broken\n +at/),
    });
  });

  it('aborts the attempt and drops the request at the core after an error', async () => {
    const { response, received } = await open();
    const task = createTask(response, {});
    task.send(SEND);
    task.fail('test', new Error('broken'));
    await received;
    expect(isAborted).toBe(true);
    expect(messages).toEqual([{ kind: 'request-failed', id: 'c-1' }]);
  });

  it('states that a request has not run only if no attempt was begun', async () => {
    const { response, received } = await open();
    createTask(response, {}).fail('test', new Error('broken'));
    expect(await received).toMatch(
      new RegExp(`^HTTP/1.1 503 .*"outcome":"${Outcome.NotRun}"`, 's'),
    );
  });

  // Guards against an error in the handling of an error that repeats without an end.
  it('ends a request once if the core throws again', async () => {
    const { response, received } = await open();
    createTask(response, { dispatch: createFault() }).fail('test', new Error('broken'));
    await received;
    expect(lines.filter(({ event }) => event === 'fault')).toHaveLength(2);
  });
});
