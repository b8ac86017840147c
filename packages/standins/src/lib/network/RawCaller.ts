import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { ChangeSignal } from './ChangeSignal.js';

/**
 * A caller that sends bytes as it likes.
 *
 * @public
 */
export class RawCaller {
  received = '';

  /** Resolves when the connection is over. */
  readonly closed: Promise<void>;

  readonly socket: Socket;

  private readonly changed = new ChangeSignal();

  constructor(port: number) {
    this.socket = connect(port, '127.0.0.1');
    this.socket.on('data', (bytes) => {
      this.received += bytes.toString('latin1');
      this.changed.notify();
    });
    this.socket.on('error', () => undefined);
    this.closed = new Promise((resolve) => {
      this.socket.once('close', () => {
        resolve();
        this.changed.notify();
      });
    });
  }

  send(bytes: string | Buffer): this {
    this.socket.write(bytes);
    return this;
  }

  /** Sends one piece after the other, as fast as they are taken, until the connection is over. */
  sendUntilClosed(piece: Buffer): this {
    const next = (error?: Error | null) => {
      if (this.socket.writable && !error) {
        this.socket.write(piece, next);
      }
    };
    next();
    return this;
  }

  /** Waits until that text has come, or the connection is over. */
  async waitFor(text: string): Promise<string> {
    await this.changed.waitUntil(() => this.received.includes(text) || this.socket.destroyed);
    return this.received;
  }

  /** The status of the first answer. */
  async getStatus(): Promise<number> {
    const text = await this.waitFor('\r\n\r\n');
    return Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1]);
  }

  /** The problem the first answer carries. */
  async getProblem(): Promise<{ outcome?: string; type?: string }> {
    const text = await this.waitFor('}');
    const body = text.slice(text.indexOf('\r\n\r\n') + 4);
    return JSON.parse(body.slice(0, body.indexOf('}') + 1)) as { outcome?: string; type?: string };
  }
}
