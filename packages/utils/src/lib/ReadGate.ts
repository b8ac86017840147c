import type { Socket } from 'node:net';

/**
 * Stops and continues the reading of a connection whose HTTP client takes what arrives by itself. The
 * client's own pause must not be used: it fails if a connection that can't be kept ends during the pause.
 * What the client has taken before is still passed on. At most a buffer of the socket is kept meanwhile.
 *
 * @example
 * ```ts
 * const gate = new ReadGate(socket);
 * gate.close();
 * response.once('drain', () => gate.open());
 * ```
 * @public
 */
export class ReadGate {
  /** Whether nothing is read. */
  isClosed = false;

  /** @param socket - a connection that nobody has read from yet */
  constructor(private readonly socket: Socket) {
    const read = socket.read.bind(socket);
    Object.assign(socket, {
      read: (size?: number): unknown => (this.isClosed ? null : read(size)),
    });
  }

  close(): void {
    this.isClosed = true;
  }

  /** Lets the client read on once it has processed what it is processing. */
  open(): void {
    if (!this.isClosed) {
      return;
    }
    this.isClosed = false;
    process.nextTick(() => {
      if (!this.isClosed && !this.socket.destroyed) {
        this.socket.emit('readable');
      }
    });
  }
}
