import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { ChangeSignal } from './ChangeSignal.js';

/**
 * A client that sends arbitrary bytes over a TCP connection, such as malformed HTTP.
 *
 * @public
 */
export class RawCaller {
  received = '';

  /** Resolves when the connection is closed. */
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

  /** Sends a chunk repeatedly, as fast as the connection accepts it, until it is closed. */
  sendUntilClosed(piece: Buffer): this {
    const sendNext = (error?: Error | null) => {
      if (this.socket.writable && !error) {
        this.socket.write(piece, sendNext);
      }
    };
    sendNext();
    return this;
  }

  /** Waits until the text has been received or the connection is closed. */
  async waitFor(text: string): Promise<string> {
    await this.changed.waitUntil(() => this.received.includes(text) || this.socket.destroyed);
    return this.received;
  }

  /** Returns the status of the first response. */
  async getStatus(): Promise<number> {
    const text = await this.waitFor('\r\n\r\n');
    return Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1]);
  }

  /** Returns the problem document in the body of the first response. */
  async getProblem(): Promise<{ outcome?: string; type?: string }> {
    const text = await this.waitFor('}');
    const body = text.slice(text.indexOf('\r\n\r\n') + 4);
    return JSON.parse(body.slice(0, body.indexOf('}') + 1)) as { outcome?: string; type?: string };
  }
}
