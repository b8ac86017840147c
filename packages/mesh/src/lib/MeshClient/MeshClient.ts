import type { ServiceError } from '@grpc/grpc-js';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { PooledChannel } from '../ChannelPool/PooledChannel.js';
import { ChannelPool } from '../ChannelPool/ChannelPool.js';
import { getMeshError } from '../getMeshError.js';
import type { KeyProvider } from '../KeyProvider/KeyProvider.js';
import { MeshError, MeshFailure } from '../MeshError.js';
import type { MeshOptions } from '../meshOptions.js';
import { callMethod } from '../meshService.js';

/** A call on its way, and how to end it early. */
interface PendingCall {
  topic: string;
  channel: PooledChannel;
  /** The channel's answers when the call began. */
  answersBefore: number;
  fail: (error: MeshError) => void;
}

/**
 * The calling end of the mesh: sends bytes over pooled channels and judges the channels by what
 * comes back.
 *
 * @internal
 */
export class MeshClient {
  private readonly pool: ChannelPool;

  private readonly pending = new Set<PendingCall>();

  private disposed = false;

  constructor(
    private readonly clock: Clock,
    private readonly options: MeshOptions,
    provider?: KeyProvider,
  ) {
    this.pool = new ChannelPool(options, provider);
  }

  get channelCount(): number {
    return this.pool.size;
  }

  /** @throws MeshError when no answer came */
  async send(
    address: string,
    topic: string,
    bytes: Buffer,
    timeout: Milliseconds,
  ): Promise<Buffer> {
    const context = { step: `mesh-call ${topic}`, peer: address };
    if (this.disposed) {
      throw new MeshError(MeshFailure.Disposed, 'the mesh is disposed', context);
    }
    if (bytes.length > this.options.messageBytes) {
      throw new MeshError(MeshFailure.Refused, `${bytes.length} bytes is over the limit`, context);
    }
    const channel = this.pool.acquire(address);
    try {
      return await this.sendOn(channel, topic, bytes, timeout);
    } finally {
      this.pool.release(channel);
    }
  }

  dispose(): void {
    this.disposed = true;
    this.pending.forEach(({ topic, channel, fail }) => {
      const context = { step: `mesh-call ${topic}`, peer: channel.address };
      fail(new MeshError(MeshFailure.Disposed, 'the mesh was disposed', context));
    });
    this.pool.dispose();
  }

  private sendOn(
    channel: PooledChannel,
    topic: string,
    bytes: Buffer,
    timeout: Milliseconds,
  ): Promise<Buffer> {
    return new Promise((resolve, reject) => {
      const call: PendingCall = { topic, channel, answersBefore: channel.answers, fail: reject };
      const timer = this.clock.setTimer(timeout, () => call.fail(this.getTimeoutError(call)));
      const end = () => {
        timer.cancel();
        return this.pending.delete(call);
      };
      const onAnswer = (error: ServiceError | null, answer?: Buffer) => {
        // What gRPC says of a call that this end gave up says nothing about the channel.
        if (!end()) {
          return;
        }
        if (error === null && answer !== undefined) {
          channel.countAnswer();
          resolve(answer);
        } else {
          reject(this.getError(call, error!));
        }
      };
      const grpcCall = channel.client.makeUnaryRequest(
        callMethod.path,
        callMethod.requestSerialize,
        callMethod.responseDeserialize,
        bytes,
        onAnswer,
      );
      call.fail = (error) => {
        end();
        reject(error);
        grpcCall.cancel();
      };
      this.pending.add(call);
    });
  }

  /**
   * Judges a channel whose call got no answer in time. A connection that something between the
   * ends has lost track of stays open and silent for good while new ones work: one sees every call
   * to a healthy peer time out. If nothing at all came back since the call began, the channel is
   * closed and the next call opens a new connection. If other calls were answered meanwhile, only
   * this one's handler is slow and the channel stays.
   */
  private getTimeoutError({ topic, channel, answersBefore }: PendingCall): MeshError {
    if (channel.answers === answersBefore) {
      this.pool.drop(channel);
    }
    const context = { step: `mesh-call ${topic}`, peer: channel.address };
    return new MeshError(MeshFailure.Timeout, 'no answer in time', context);
  }

  /**
   * Judges a channel whose call failed. After a broken connection gRPC waits ever longer before it
   * connects again, up to minutes, and fails calls meanwhile: a peer that restarted would look dead
   * long after it is back. Dropping the channel makes the next call connect at once.
   */
  private getError({ topic, channel }: PendingCall, error: ServiceError): MeshError {
    const meshError = getMeshError(error, topic, channel.address);
    if (meshError.failure === MeshFailure.Unreachable) {
      this.pool.drop(channel);
    } else {
      channel.countAnswer();
    }
    return meshError;
  }
}
