import type { ServiceError } from '@grpc/grpc-js';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { PooledChannel } from '../ChannelPool/PooledChannel.js';
import { ChannelPool } from '../ChannelPool/ChannelPool.js';
import { getMeshError } from '../getMeshError.js';
import type { KeyProvider } from '../KeyProvider/KeyProvider.js';
import { MeshError, MeshFailure } from '../MeshError.js';
import type { MeshOptions } from '../meshOptions.js';
import { callMethod } from '../meshService.js';

/** A call in flight. */
interface PendingCall {
  topic: string;
  channel: PooledChannel;
  /** The number of responses on the channel when the call was sent. */
  initialResponses: number;
  /** Ends the call early with this error. */
  fail: (error: MeshError) => void;
}

/**
 * The client side of the mesh: sends bytes over pooled channels, and closes channels that do not
 * work any more.
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

  /** @throws MeshError when there was no response */
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
    if (bytes.length > this.options.maxMessageBytes) {
      throw new MeshError(
        MeshFailure.Refused,
        `the message of ${bytes.length} bytes exceeds the limit`,
        context,
      );
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
      const call: PendingCall = {
        topic,
        channel,
        initialResponses: channel.responses,
        fail: reject,
      };
      const timer = this.clock.setTimer(timeout, () => call.fail(this.getTimeoutError(call)));
      const finish = () => {
        timer.cancel();
        return this.pending.delete(call);
      };
      const onResponse = (error: ServiceError | null, response?: Buffer) => {
        // The error of a call that was already ended here says nothing about the channel.
        if (!finish()) {
          return;
        }
        if (error === null && response !== undefined) {
          channel.recordResponse();
          resolve(response);
        } else {
          reject(this.getCallError(call, error!));
        }
      };
      const grpcCall = channel.client.makeUnaryRequest(
        callMethod.path,
        callMethod.requestSerialize,
        callMethod.responseDeserialize,
        bytes,
        onResponse,
      );
      call.fail = (error) => {
        finish();
        reject(error);
        grpcCall.cancel();
      };
      this.pending.add(call);
    });
  }

  /**
   * Creates the error of a call that timed out, and closes the channel if its connection is silent.
   * A connection whose state was lost by an intermediary stays open and silent while new ones work,
   * so that every call to a healthy peer times out. If there was no response at all since the call
   * was sent, the channel is closed and the next call opens a new connection. If other calls got a
   * response in the meantime, only the handler of this call is slow and the channel stays open.
   */
  private getTimeoutError({ topic, channel, initialResponses }: PendingCall): MeshError {
    if (channel.responses === initialResponses) {
      this.pool.close(channel);
    }
    const context = { step: `mesh-call ${topic}`, peer: channel.address };
    return new MeshError(MeshFailure.Timeout, 'no response in time', context);
  }

  /**
   * Creates the error of a call that failed, and closes the channel if the peer is unreachable.
   * After a broken connection, gRPC reconnects with a backoff of up to minutes and fails calls until
   * then, so that a restarted peer would appear down for long. With a new channel, the next call
   * connects immediately.
   */
  private getCallError({ topic, channel }: PendingCall, error: ServiceError): MeshError {
    const meshError = getMeshError(error, topic, channel.address);
    if (meshError.failure === MeshFailure.Unreachable) {
      this.pool.close(channel);
    } else {
      channel.recordResponse();
    }
    return meshError;
  }
}
