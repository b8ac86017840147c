import type { Instance, StoreFault } from '@apricotrill/store';
import { request } from 'undici';
import { Binary, Subprocess } from './Subprocess.js';

/** The numbers of calls that the stand-in has counted. */
export interface PlatformCounters {
  reads: number;
  writes: number;
  watches: number;
  waitingWatches: number;
}

/** The platform's stand-in as a process. */
export class PlatformProcess {
  private constructor(
    readonly process: Subprocess,
    readonly port: number,
  ) {}

  static async start(args: string[] = []): Promise<PlatformProcess> {
    const process = new Subprocess(Binary.Platform, ['--port', '0', ...args]);
    const { port } = await process.getListening();
    return new PlatformProcess(process, port!);
  }

  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** Injects a fault through `POST /faults` of the stand-in. */
  async injectFault(fault: StoreFault): Promise<void> {
    await this.send('POST', '/faults', fault);
  }

  /** Adds or updates an instance. The instance list shows the change with its lag. */
  async putInstance(instance: Instance): Promise<void> {
    await this.send('PUT', `/instances/${instance.id}`, instance);
  }

  async deleteInstance(id: string): Promise<void> {
    await this.send('DELETE', `/instances/${id}`);
  }

  async getCounters(): Promise<PlatformCounters> {
    const response = await request(`${this.url}/counters`);
    return (await response.body.json()) as PlatformCounters;
  }

  /** Returns the value of an object, or undefined if it does not exist. */
  async getValue(key: string): Promise<string | undefined> {
    const response = await request(`${this.url}/objects/${key}`);
    const text = await response.body.text();
    return response.statusCode === 200 ? text : undefined;
  }

  private async send(method: 'POST' | 'PUT' | 'DELETE', path: string, value?: unknown) {
    const body = value === undefined ? undefined : JSON.stringify(value);
    const response = await request(`${this.url}${path}`, { method, body });
    await response.body.dump();
    if (response.statusCode >= 300) {
      throw new Error(`${method} ${path}: ${response.statusCode}`);
    }
  }
}
