import { abortResponse } from '@apricotrill/callers';
import type { ServerResponse } from 'node:http';
import type { Holding } from '../../memory/HeldBytes/Holding.js';
import { HeldKind } from '../../memory/HeldKind.js';
import { JoinedWrites } from '../../http/JoinedWrites/JoinedWrites.js';
import { getErrorText } from '../../observe/getErrorText.js';
import { memoryOptions } from '../../memory/memoryOptions.js';
import { getEndToEndHeaders } from '../../protocol/connectionHeaders.js';
import { RequestWithdrawnError } from '../../upstream/UpstreamExchange/RequestWithdrawnError.js';
import type {
  ExchangeListener,
  ResponseHead,
  UpstreamExchange,
} from '../../upstream/UpstreamExchange/UpstreamExchange.js';
import {
  FORWARDING_HEADERS,
  FRAMING_HEADER,
  ForwardingResult,
  RESULT_HEADER,
  formatReplicaFraming,
} from '../forwardingProtocol.js';

const BAD_GATEWAY = 502;

/** Responds that an attempt was not forwarded, or that it broke. */
export function writeForwardingResult(response: ServerResponse, result: ForwardingResult): void {
  if (!response.destroyed) {
    response.writeHead(BAD_GATEWAY, { [RESULT_HEADER]: result, 'content-length': 0 });
    response.end();
  }
}

/** Passes the response of a replica on to the daemon whose attempt is forwarded. */
export class ForwardedExchange implements ExchangeListener {
  exchange: UpstreamExchange | undefined;

  private hasEnded = false;

  private readonly writes: JoinedWrites;

  /** @param onHead - called with the head of the replica's response */
  constructor(
    private readonly response: ServerResponse,
    private readonly parts: {
      /** What is held for the attempt. */
      holding: Holding;
      onHead: (head: ResponseHead) => void;
      onEnd: (result: ForwardingResult, detail: string | undefined) => void;
    },
  ) {
    this.writes = new JoinedWrites(response);
    response.once('close', () => this.handleClosed());
  }

  onHead(head: ResponseHead): void {
    this.parts.onHead(head);
    const headers = getEndToEndHeaders(head.rawHeaders, FORWARDING_HEADERS);
    headers.push(RESULT_HEADER, ForwardingResult.Response);
    headers.push(FRAMING_HEADER, formatReplicaFraming(head.framing));
    this.response.sendDate = false;
    this.response.writeHead(head.status, headers);
    this.response.flushHeaders();
  }

  onBody(bytes: Buffer): void {
    if (!this.writes.add(bytes)) {
      const { holding } = this.parts;
      this.exchange?.pause();
      const { pausedResponseBytes } = memoryOptions;
      holding.set(HeldKind.Stream, this.writes.queuedBytes + pausedResponseBytes);
      this.response.once('drain', () => {
        holding.set(HeldKind.Stream, 0);
        this.exchange?.resume();
      });
    }
  }

  onEnd(): void {
    this.writes.flush();
    this.response.end();
    this.finish(ForwardingResult.Response, undefined);
  }

  onError(error: Error, isSent: boolean): void {
    const result = ForwardedExchange.getResult(error, isSent);
    if (this.response.headersSent) {
      this.writes.flush();
      abortResponse(this.response);
    } else {
      writeForwardingResult(this.response, result);
    }
    this.finish(result, error.message);
  }

  /** Ends the attempt after an unexpected error. */
  fail(error: unknown): void {
    abortResponse(this.response);
    this.finish(ForwardingResult.Broken, getErrorText(error));
  }

  private static getResult(error: Error, isSent: boolean): ForwardingResult {
    if (error instanceof RequestWithdrawnError) {
      return ForwardingResult.Withdrawn;
    }
    return isSent ? ForwardingResult.Broken : ForwardingResult.Unreachable;
  }

  /** The other daemon no longer waits, so the replica must stop working on the request. */
  private handleClosed(): void {
    if (!this.hasEnded) {
      this.exchange?.abort();
      this.finish(ForwardingResult.Broken, 'closed by the daemon that sent it');
    }
  }

  private finish(result: ForwardingResult, detail: string | undefined): void {
    if (!this.hasEnded) {
      this.hasEnded = true;
      this.parts.onEnd(result, detail);
    }
  }
}
