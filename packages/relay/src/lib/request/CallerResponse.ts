import { abortResponse } from '@apricotrill/callers';
import type { Clock } from '@apricotrill/utils';
import type { ServerResponse } from 'node:http';
import { callerOptions } from '../callers/callerOptions.js';
import { ResponseFraming } from '../framing/getResponseFraming.js';
import { JoinedWrites } from '../http/JoinedWrites/JoinedWrites.js';
import { getEndToEndHeaders } from '../protocol/connectionHeaders.js';
import type { ResponseHead } from '../upstream/UpstreamExchange/UpstreamExchange.js';

/** Not forwarded where the length is not known yet, or is stated anew. */
const LENGTH_HEADERS = new Set(['content-length']);

/** What the caller of a response that has ended can tell of its end. */
export enum ResponseEnd {
  /** A length or a last chunk shows that the response is complete. */
  Framed = 'framed',
  /** The response ended with its connection, as the replica's did. */
  Connection = 'connection',
  /** The caller was promised more than the replicas' responses justify. */
  BrokenOff = 'broken-off',
}

/**
 * The response to a caller. Never tells the caller more about its end than the replica's response proves: what
 * ended with the connection of the replica ends with that of the caller.
 */
export class CallerResponse {
  /** Whether only the end of the connection ends the response. */
  private endsWithConnection = false;

  private readonly writes: JoinedWrites;

  constructor(
    private readonly response: ServerResponse,
    private readonly clock: Clock,
  ) {
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
    const isChunked = framing === ResponseFraming.Chunked;
    const headers = getEndToEndHeaders(rawHeaders, isChunked ? LENGTH_HEADERS : undefined);
    if (isChunked) {
      headers.push('Content-Length', String(body.length));
    }
    this.writeHead(status, headers, framing);
    this.response.end(body);
    return framing === ResponseFraming.Connection ? ResponseEnd.Connection : ResponseEnd.Framed;
  }

  /** Starts a stream; has no effect if it has been started by another replica. */
  startStream({ status, rawHeaders, framing }: ResponseHead): void {
    if (!this.isStarted) {
      // Another replica may continue the stream.
      const length = framing === ResponseFraming.Length ? ResponseFraming.Chunked : framing;
      this.writeHead(status, getEndToEndHeaders(rawHeaders, LENGTH_HEADERS), length);
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

  /** @param framing - of the response of the last replica */
  endStream(framing: ResponseFraming | undefined): ResponseEnd {
    this.writes.flush();
    const isProven = framing !== ResponseFraming.Connection;
    if (!isProven && !this.endsWithConnection) {
      this.breakOff();
      return ResponseEnd.BrokenOff;
    }
    this.response.end();
    return this.endsWithConnection ? ResponseEnd.Connection : ResponseEnd.Framed;
  }

  /** Breaks off the response, so that it does not appear to be complete. */
  breakOff(): void {
    this.writes.flush();
    if (!this.endsWithConnection) {
      abortResponse(this.response);
      return;
    }
    // A reset discards what the caller has not received yet.
    this.clock.setTimer(callerOptions.resetDelay, () => abortResponse(this.response));
  }

  private writeHead(status: number, headers: string[], framing: ResponseFraming): void {
    if (framing === ResponseFraming.Connection) {
      this.response.useChunkedEncodingByDefault = false;
    }
    this.response.writeHead(status, headers);
    this.endsWithConnection = framing !== ResponseFraming.Length && !this.response.chunkedEncoding;
  }
}
