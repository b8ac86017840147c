import { request } from 'undici';
import type { CallCounters, Instance } from '@apricotrill/store';
import { StepError } from '@apricotrill/utils';
import { BenchProcess, FleetBinary } from './BenchProcess.js';

/**
 * The platform's stand-in as a process: object store and lagging list of instances.
 *
 * @internal
 */
export class PlatformProcess {
  private constructor(
    private readonly process: BenchProcess,
    readonly url: string,
  ) {}

  static async start(host: string): Promise<PlatformProcess> {
    const args = ['--host', host, '--port', '0'];
    const { process, ports } = await BenchProcess.start(FleetBinary.Platform, args);
    return new PlatformProcess(process, `http://${host}:${ports.port}`);
  }

  /** Tells it of an instance, which its list shows with its lag. */
  async putInstance(instance: Instance): Promise<void> {
    const { statusCode, body } = await request(`${this.url}/instances/${instance.id}`, {
      method: 'PUT',
      body: JSON.stringify(instance),
    });
    await body.dump();
    if (statusCode >= 300) {
      throw new StepError(`status ${statusCode}`, { step: 'put-instance', peer: this.url });
    }
  }

  /** The calls it has counted, whoever made them. */
  async getCounters(): Promise<CallCounters> {
    const { body } = await request(`${this.url}/counters`);
    return (await body.json()) as CallCounters;
  }

  /** The length of an answer that lists all instances. */
  async getListBytes(): Promise<number> {
    const { body } = await request(`${this.url}/instances`);
    return Buffer.byteLength(await body.text());
  }

  async dispose(): Promise<void> {
    await this.process.kill();
  }
}
