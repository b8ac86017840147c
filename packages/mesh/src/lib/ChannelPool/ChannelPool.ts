import type { ChannelOptions } from '@grpc/grpc-js';
import { Client } from '@grpc/grpc-js';
import type { MeshOptions } from '../meshOptions.js';
import { getChannelCredentials } from '../KeyProvider/KeyProvider.js';
import type { KeyProvider } from '../KeyProvider/KeyProvider.js';
import { getTarget } from '../getTarget.js';
import { PooledChannel } from './PooledChannel.js';

/**
 * Makes gRPC connect only to this one IP address: no proxy from the environment, no service
 * configuration, no automatic retries. The channel does not share its connection with others, so
 * that closing the channel also closes the connection.
 */
function getChannelOptions(options: MeshOptions): ChannelOptions {
  return {
    'grpc.enable_http_proxy': 0,
    'grpc.service_config_disable_resolution': 1,
    'grpc.enable_retries': 0,
    'grpc.enable_channelz': 0,
    'grpc.use_local_subchannel_pool': 1,
    'grpc.keepalive_time_ms': options.keepaliveInterval,
    'grpc.keepalive_timeout_ms': options.keepaliveTimeout,
    'grpc.keepalive_permit_without_calls': 0,
    'grpc.max_send_message_length': options.maxMessageBytes,
    'grpc.max_receive_message_length': options.maxMessageBytes,
  };
}

/**
 * Keeps a limited number of channels open, one for each peer. There are 1,800 peers, and each
 * channel costs a socket and memory at both ends, so the least recently used one is closed.
 *
 * @internal
 */
export class ChannelPool {
  /** By peer address, in order of last use, least recent first. */
  private readonly channels = new Map<string, PooledChannel>();

  constructor(
    private readonly options: MeshOptions,
    private readonly provider?: KeyProvider,
  ) {}

  /** Number of open channels. */
  get size(): number {
    return this.channels.size;
  }

  /** Reserves the channel to a peer for one call, and opens it if needed. */
  acquire(address: string): PooledChannel {
    const channel = this.channels.get(address) ?? this.open(address);
    this.channels.delete(address);
    this.channels.set(address, channel);
    channel.adjustCallCount(1);
    this.closeIdleChannels();
    return channel;
  }

  /** Releases the channel after a call. */
  release(channel: PooledChannel): void {
    channel.adjustCallCount(-1);
    this.closeIdleChannels();
  }

  /** Closes the channel; the next call to the peer opens a new one. */
  close(channel: PooledChannel): void {
    if (this.channels.get(channel.address) === channel) {
      this.channels.delete(channel.address);
    }
    channel.client.close();
  }

  dispose(): void {
    this.channels.forEach((channel) => channel.client.close());
    this.channels.clear();
  }

  private open(address: string): PooledChannel {
    const client = new Client(
      getTarget(address),
      getChannelCredentials(this.provider),
      getChannelOptions(this.options),
    );
    return new PooledChannel(address, client);
  }

  /** Closes excess channels, except those with calls in flight, which are closed after their calls. */
  private closeIdleChannels(): void {
    let excess = this.channels.size - this.options.maxChannels;
    this.channels.forEach((channel) => {
      if (excess > 0 && channel.callsInFlight === 0) {
        excess -= 1;
        this.close(channel);
      }
    });
  }
}
