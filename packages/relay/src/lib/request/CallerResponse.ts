import { abortResponse } from '@apricotrill/callers';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { ResponseFraming } from '../framing/getResponseFraming.js';
import { JoinedWrites } from '../http/JoinedWrites/JoinedWrites.js';
import { getEndToEndHeaders, getListHeader } from '../protocol/connectionHeaders.js';
import type { ResponseHead } from '../upstream/UpstreamExchange/UpstreamExchange.js';

/** Not forwarded where the length is not known yet, or is stated anew. */
const LENGTH_HEADERS = new Set(['content-length']);

function asksToClose({ rawHeaders }: IncomingMessage): boolean {
  const options = getListHeader(rawHeaders, 'connection');
  return options.some((option) => option.toLowerCase() === 'close');
}

/** What the caller of a response that has ended can tell of its end. */
export enum ResponseEnd {
  /** A length or a last chunk shows that the response is complete. */
  Framed = 'framed',
  /** The response was broken off, and its caller can tell. */
  BrokenOff = 'broken-off',
}

/**
 * The response to a caller. States a length or is sent in chunks, however the replica frames its own, so that
 * the caller can tell a whole response from one whose connection was lost.
 */
export class CallerResponse {
  private readonly writes: JoinedWrites;

  constructor(private readonly response: ServerResponse) {
    this.writes = new JoinedWrites(response);
  }

  get isStarted(): boolean {
    return this.response.headersSent;
  }

  /**
   * Sends a response that was received to its end. A stream that has been started is broken off instead: the
   * response is that of a replica which failed to resume it.
   */
  sendWhole({ status, rawHeaders, framing }: ResponseHead, body: Buffer): ResponseEnd {
    if (this.isStarted) {
      this.breakOff();
      return ResponseEnd.BrokenOff;
    }
    // Without a body, the length is that of another response.
    const keepsLength = framing === ResponseFraming.Length || framing === ResponseFraming.NoBody;
    const headers = getEndToEndHeaders(rawHeaders, keepsLength ? undefined : LENGTH_HEADERS);
    if (!keepsLength) {
      headers.push('Content-Length', String(body.length));
    }
    this.response.writeHead(status, headers);
    this.response.end(body);
    return ResponseEnd.Framed;
  }

  /** Starts a stream, whose length is not known; has no effect if it has been started by another replica. */
  startStream({ status, rawHeaders }: ResponseHead): void {
    if (!this.isStarted) {
      this.omitClose();
      this.response.writeHead(status, getEndToEndHeaders(rawHeaders, LENGTH_HEADERS));
    }
  }

  /**
   * Leaves `Connection: close` out of the response, as some clients take the loss of a connection for the end of a
   * response that states it. A caller that did not ask for it is told by the next response on the connection.
   */
  private omitClose(): void {
    const { response } = this;
    if (response.shouldKeepAlive) {
      return;
    }
    if (asksToClose(response.req)) {
      response.removeHeader('Connection');
    } else {
      response.shouldKeepAlive = true;
    }
  }

  /** @returns whether the caller keeps up; if not, {@link CallerResponse.onceDrained} follows */
  write(bytes: Buffer): boolean {
    return this.writes.add(bytes);
  }

  /** Bytes that the caller has not received. */
  get queuedBytes(): number {
    return this.writes.queuedBytes;
  }

  onceDrained(callback: () => void): void {
    this.response.once('drain', callback);
  }

  /** Ends a stream that is complete. */
  endStream(): ResponseEnd {
    this.writes.flush();
    this.response.end();
    return ResponseEnd.Framed;
  }

  /** Breaks off the response, so that it does not appear to be complete. */
  breakOff(): void {
    this.writes.flush();
    abortResponse(this.response);
  }
}
