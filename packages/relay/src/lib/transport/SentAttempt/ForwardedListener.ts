import {
  FORWARDING_HEADERS,
  ForwardingResult,
  readForwardingResult,
  readReplicaFraming,
} from '../../forwarding/forwardingProtocol.js';
import { getEndToEndHeaders } from '../../protocol/connectionHeaders.js';
import { UnconfirmedEndError } from '../../upstream/UpstreamExchange/UnconfirmedEndError.js';
import { UnsendableRequestError } from '../../upstream/UpstreamExchange/UnsendableRequestError.js';
import type {
  ExchangeListener,
  ResponseHead,
} from '../../upstream/UpstreamExchange/UpstreamExchange.js';

/** Receives the end of a forwarded attempt that has no response from the replica. */
export interface ForwardingListener {
  /** The replica has responded through the forwarder. */
  onReached(): void;
  /** The forwarder did not send the attempt. */
  onRefused(result: ForwardingResult | undefined): void;
  /** The connection to the forwarder failed before anything was sent. */
  onForwarderUnreachable(error: Error): void;
}

/** Reads the response of a forwarder, and passes the replica's response in it on. */
export class ForwardedListener implements ExchangeListener {
  private result: ForwardingResult | undefined;

  private hasHead = false;

  /** Whether the end of the forwarder's response proves that the replica's is complete. */
  private isProof = false;

  constructor(
    private readonly replica: ExchangeListener,
    private readonly listener: ForwardingListener,
  ) {}

  onHead({ status, rawHeaders, framing }: ResponseHead): void {
    this.hasHead = true;
    this.result = readForwardingResult(rawHeaders);
    if (this.result === ForwardingResult.Response) {
      this.listener.onReached();
      const forwarded = readReplicaFraming(rawHeaders, framing);
      this.isProof = forwarded.isProof;
      this.replica.onHead({
        status,
        rawHeaders: getEndToEndHeaders(rawHeaders, FORWARDING_HEADERS),
        framing: forwarded.framing,
      });
    }
  }

  onBody(bytes: Buffer): void {
    if (this.result === ForwardingResult.Response) {
      this.replica.onBody(bytes);
    }
  }

  onEnd(): void {
    switch (this.result) {
      case ForwardingResult.Response:
        if (this.isProof) {
          this.replica.onEnd();
        } else {
          this.replica.onError(new UnconfirmedEndError(), true);
        }
        break;
      case ForwardingResult.Broken:
        this.replica.onError(new Error('the attempt broke at the forwarder'), true);
        break;
      default:
        this.listener.onRefused(this.result);
    }
  }

  onError(error: Error, isSent: boolean): void {
    if (this.hasHead && this.result !== ForwardingResult.Response) {
      this.onEnd();
    } else if (isSent || error instanceof UnsendableRequestError) {
      this.replica.onError(error, isSent);
    } else {
      this.listener.onForwarderUnreachable(error);
    }
  }
}
