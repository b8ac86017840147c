import type { ChannelOptions } from '@grpc/grpc-js';
import { Client } from '@grpc/grpc-js';
import type { MeshOptions } from '../meshOptions.js';
import { getChannelCredentials } from '../KeyProvider/KeyProvider.js';
import type { KeyProvider } from '../KeyProvider/KeyProvider.js';
import { getTarget } from '../getTarget.js';
import { PooledChannel } from './PooledChannel.js';

/**
 * Settings that keep gRPC from doing anything but talk to this one IP number: no proxy from the
 * environment, no service configuration, no retries behind the caller's back, and a connection of
 * its own, so that closing the channel closes the connection whoever else calls the peer.
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
    'grpc.max_send_message_length': options.messageBytes,
    'grpc.max_receive_message_length': options.messageBytes,
  };
}

/**
 * Keeps a bounded number of channels open, one for each peer. 1,800 peers exist and each channel
 * costs a socket and memory at both ends, so the least recently used one makes room.
 *
 * @internal
 */
export class ChannelPool {
  /** In order of last use, oldest first. */
  private readonly channels = new Map<string, PooledChannel>();

  constructor(
    private readonly options: MeshOptions,
    private readonly provider?: KeyProvider,
  ) {}

  /** How many channels are open. */
  get size(): number {
    return this.channels.size;
  }

  /** Takes the channel to a peer for one call, opening it if needed. */
  acquire(address: string): PooledChannel {
    const channel = this.channels.get(address) ?? this.open(address);
    this.channels.delete(address);
    this.channels.set(address, channel);
    channel.countCall(1);
    this.closeSurplus();
    return channel;
  }

  /** Gives the channel back after a call. */
  release(channel: PooledChannel): void {
    channel.countCall(-1);
    this.closeSurplus();
  }

  /** Closes this very channel; the next call to the peer opens a new one. */
  drop(channel: PooledChannel): void {
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

  /** Channels with calls in flight stay; the surplus goes once their calls have ended. */
  private closeSurplus(): void {
    let surplus = this.channels.size - this.options.channels;
    this.channels.forEach((channel) => {
      if (surplus > 0 && channel.callsInFlight === 0) {
        surplus -= 1;
        this.drop(channel);
      }
    });
  }
}
