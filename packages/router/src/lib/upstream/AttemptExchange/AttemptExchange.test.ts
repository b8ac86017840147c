import { AttemptStatus } from '@apricotrill/policy';
import { ManualClock } from '@apricotrill/utils';
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { Client, buildConnector } from 'undici';
import type { Dispatcher, buildConnector as Connector } from 'undici';
import type { AnswerFlow, AnswerReader } from '../ResponseReader.js';
import type { Attempt, AttemptResult } from '../Attempt.js';
import { PlainAnswerReader } from '../PlainResponseReader.js';
import type { PlainAnswer } from '../PlainResponseReader.js';
import { AttemptExchange } from './AttemptExchange.js';

const REQUEST = { method: 'POST', path: '/holds', body: 'sheet 7' } as const;
const TIMEOUT = 1000;

/** A backend server that speaks raw bytes and remembers what it got. */
class RawServer {
  received = '';

  /** Resolves when the first connection brings bytes, or has ended without any. */
  readonly firstSign: Promise<void>;

  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  constructor(answer: (socket: Socket, received: string) => void) {
    let giveSign = () => {};
    this.firstSign = new Promise((resolve) => {
      giveSign = resolve;
    });
    this.server = createServer((socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', giveSign);
      socket.on('data', (bytes) => {
        this.received += bytes.toString();
        giveSign();
        answer(socket, this.received);
      });
    });
  }

  async listen(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  dispose(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }
}

const isWhole = (received: string) => received.endsWith('sheet 7');

describe('AttemptExchange', () => {
  const cleanups: (() => void)[] = [];
  let clock: ManualClock;
  let answers: PlainAnswer[];
  let controller: AbortController;

  beforeEach(() => {
    clock = new ManualClock();
    answers = [];
    controller = new AbortController();
  });

  afterEach(() => {
    cleanups.splice(0).forEach((cleanup) => cleanup());
  });

  function run(
    dispatcher: Dispatcher,
    onBody: (flow: AnswerFlow) => void = () => undefined,
  ): Promise<AttemptResult> {
    const attempt = {
      requestId: 'request',
      number: 1,
      replica: { id: 'portal-1' },
      firstTokenTimeout: TIMEOUT,
      tokenGapTimeout: TIMEOUT,
      signal: controller.signal,
      onLoad: () => undefined,
    } as unknown as Attempt;
    const createReader = (flow: AnswerFlow): AnswerReader => {
      const plain = new PlainAnswerReader('request/1', (answer) => answers.push(answer));
      return {
        onHead: (head) => plain.onHead(head),
        onBody: (bytes) => {
          onBody(flow);
          return plain.onBody(bytes);
        },
        onEnd: () => plain.onEnd(),
        onBreak: () => plain.onBreak(),
      };
    };
    return new AttemptExchange({ attempt, clock, createReader }).run(dispatcher, REQUEST);
  }

  async function serve(answer: (socket: Socket, received: string) => void) {
    const server = new RawServer(answer);
    const origin = await server.listen();
    cleanups.push(() => server.dispose());
    return { server, origin };
  }

  function connect(origin: string, connector?: Connector.connector): Client {
    const client = new Client(origin, connector === undefined ? {} : { connect: connector });
    cleanups.push(() => {
      client.destroy().catch(() => undefined);
    });
    return client;
  }

  // Symptom: a hold that never left is answered `unknown`, and the shop must check by hand.
  // Sequence: the connection takes longer to open than silence is allowed. Cause: a connection
  // being opened taken for one that has gone silent. And the other way round: once given up as
  // not sent, not one byte may leave when the connection opens after all.
  it('proves an attempt not sent whose connection opens too late', async () => {
    const { server, origin } = await serve(() => undefined);
    const direct = buildConnector({});
    const late: (() => void)[] = [];
    const client = connect(origin, (options, callback) => {
      late.push(() => direct(options, callback));
    });
    const result = run(client);
    clock.advance(TIMEOUT);
    const { end, silent } = await result;
    expect(end).toBe(AttemptStatus.NotSent);
    expect(silent).toBeUndefined();
    late.forEach((go) => go());
    await server.firstSign;
    expect(server.received).toBe('');
  });

  it('proves an attempt not sent whose connection is refused', async () => {
    const { server, origin } = await serve(() => undefined);
    server.dispose();
    expect(await run(connect(origin))).toMatchObject({ end: AttemptStatus.NotSent });
  });

  it.each([
    ['before its answer', ''],
    ['within the head', 'HTTP/1.1 200 OK\r\ncontent-le'],
    ['within the body', 'HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhalf'],
  ])('calls a connection broken that ends %s', async (_where, part) => {
    const { origin } = await serve((socket, received) => {
      if (isWhole(received)) {
        socket.end(part);
      }
    });
    expect(await run(connect(origin))).toMatchObject({ end: AttemptStatus.Broken });
    expect(answers).toEqual([]);
  });

  it('notices a connection that takes the request and goes silent', async () => {
    const { origin } = await serve((_socket, received) => {
      if (isWhole(received)) {
        clock.advance(TIMEOUT);
      }
    });
    const client = connect(origin);
    const { end, silent } = await run(client);
    expect(end).toBe(AttemptStatus.Broken);
    expect(silent === client).toBe(true);
  });

  // Symptom: a caller on a slow line loses its answer, and the engine's connections are condemned.
  // Sequence: the answer is held back for the caller, longer than silence is allowed. Cause: our
  // own waiting counted as the replica's silence.
  it('does not take waiting for the caller for silence', async () => {
    let takeMore = () => {};
    const ready = new Promise<void>((resolve) => {
      takeMore = resolve;
    });
    const { origin } = await serve((socket, received) => {
      if (isWhole(received)) {
        socket.write('HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nhalf');
        ready.then(() => socket.write('half'));
      }
    });
    const { end, detail } = await run(connect(origin), (flow) => {
      flow.waitFor(ready);
      clock.advance(5 * TIMEOUT);
      takeMore();
    });
    expect({ end, detail }).toEqual({ end: AttemptStatus.Completed, detail: 'whole' });
    expect(answers[0]?.body.toString()).toBe('halfhalf');
  });

  // Symptom: a refused hold is answered `unknown`. Sequence: the replica refuses by the documented
  // head, the body of the refusal never ends, and silence ends the attempt. Cause: the proof was
  // in the head, and the attempt waited for the body.
  it('believes a refusal from its head', async () => {
    const { origin } = await serve((socket, received) => {
      if (isWhole(received)) {
        const head = ['HTTP/1.1 503 No', 'x-outcome: not-run', 'x-leaving: true', 'retry-after: 2'];
        socket.write(`${head.join('\r\n')}\r\ncontent-length: 9\r\n\r\n{`);
      }
    });
    const expected = { end: AttemptStatus.Refused, status: 503, leaving: true, retryAfter: 2000 };
    expect(await run(connect(origin))).toMatchObject(expected);
  });

  it('calls an error an error though its connection breaks', async () => {
    const { origin } = await serve((socket, received) => {
      if (isWhole(received)) {
        socket.end('HTTP/1.1 500 No\r\ncontent-length: 50\r\n\r\nout of ink');
      }
    });
    const expected = { end: AttemptStatus.Errored, status: 500, detail: 'status 500: out of ink' };
    expect(await run(connect(origin))).toMatchObject(expected);
  });

  // Symptom: a payment is charged twice. Sequence: the connection fails under the request, and the
  // HTTP client starts it again on a new one by itself. Cause: clients repeat what was queued on a
  // connection that failed.
  it('never lets the client start the request again', async () => {
    const aborts: unknown[] = [];
    const control = { abort: (reason: unknown) => aborts.push(reason) };
    const repeating = {
      dispatch: (_options: unknown, handler: Dispatcher.DispatchHandler) => {
        handler.onRequestStart?.(control as never, {});
        handler.onRequestStart?.(control as never, {});
        handler.onResponseError?.(control as never, new Error('aborted'));
      },
    };
    expect(await run(repeating as never)).toMatchObject({ end: AttemptStatus.Broken });
    expect(aborts).toHaveLength(1);
  });

  it('breaks the connection at once when it is cancelled', async () => {
    const { origin } = await serve((socket, received) => {
      if (isWhole(received)) {
        controller.abort();
      }
    });
    const client = connect(origin);
    const disconnected = once(client, 'disconnect');
    expect(await run(client)).toMatchObject({ end: AttemptStatus.Cancelled });
    await disconnected;
  });

  it('sends nothing of an attempt that was cancelled before its connection opened', async () => {
    const { server, origin } = await serve(() => undefined);
    const result = run(connect(origin));
    controller.abort();
    expect(await result).toMatchObject({ end: AttemptStatus.Cancelled });
    await server.firstSign;
    expect(server.received).toBe('');
  });
});
