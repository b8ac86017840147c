import { ConfigurationStore } from '@apricotrill/configuration';
import type { Configuration } from '@apricotrill/model';
import { HttpPlatformStore } from '@apricotrill/store';
import { createPlatformStandin } from '@apricotrill/standins';
import { SystemClock, createRandom } from '@apricotrill/utils';
import type { Random } from '@apricotrill/utils';
import { Command, Option } from 'clipanion';
import { request } from 'undici';
import { Backends, getDemoKey } from './Backends.js';
import { getClassCalls } from './getClassCalls.js';
import type { ClassCall } from './getClassCalls.js';
import { ClassSummary, formatTable } from './ClassSummary.js';
import { Daemons } from './Daemons.js';
import type { DemoDaemon } from './Daemons.js';
import { makeCall } from './makeCall.js';
import { Example, isExample, readExample } from './readExample.js';

const MILLISECONDS_PER_SECOND = 1000;

/** The call rate over all classes. */
const CALLS_PER_SECOND = 25;

/** The interval at which the readiness of a daemon is checked. */
const READY_POLL_INTERVAL_MS = 50;

/** Sends a call from a random workspace to a random daemon. */
function sendRandomCall(
  configuration: Configuration,
  call: ClassCall,
  daemons: DemoDaemon[],
  random: Random,
) {
  const { workspaces } = configuration.register;
  const workspace = workspaces[random.integer(workspaces.length)]!.name;
  const daemon = daemons[random.integer(daemons.length)]!;
  return makeCall(call.shape, {
    port: daemon.port,
    apiKey: getDemoKey(workspace),
    prompt: `${workspace} asks number ${random.integer(1_000_000)}`,
  });
}

/**
 * Shows the routing of calls by class, with embedded stand-ins.
 *
 * @internal
 */
export class DemoCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'run router daemons with embedded stand-ins and show the results by class',
    details: `
      Starts a platform, the backend servers of an example deployment and three daemons in this
      process, on loopback ports. Prints one streamed answer, sends calls of all classes, and prints
      a summary by class. Exits with 1 if an answer was incomplete.
    `,
    examples: [
      ['The print shops, for ten seconds', 'apricotrill-demo'],
      [
        'The self-storage businesses, for five seconds',
        'apricotrill-demo --example nube-tica --seconds 5',
      ],
    ],
  });

  example = Option.String('--example', Example.Liitto, { description: 'liitto or nube-tica' });

  seconds = Option.String('--seconds', '10', {
    description: 'how long calls are sent, in seconds',
  });

  private readonly clock = new SystemClock();

  override async execute(): Promise<number> {
    if (!isExample(this.example) || !(Number(this.seconds) > 0)) {
      this.context.stderr.write(
        '--example must be liitto or nube-tica, --seconds a number above 0\n',
      );
      return 2;
    }
    const platform = createPlatformStandin();
    const backends = new Backends();
    const daemons = new Daemons();
    try {
      const { host, port } = await platform.listen();
      const configuration = await backends.start(await readExample(this.example));
      const url = `http://${host}:${port}`;
      const startedDaemons = await this.startDaemons(daemons, configuration, url);
      return await this.runCalls(configuration, startedDaemons);
    } finally {
      await daemons.dispose();
      await backends.dispose();
      await platform.dispose();
    }
  }

  private async startDaemons(
    daemons: Daemons,
    configuration: Configuration,
    url: string,
  ): Promise<DemoDaemon[]> {
    const { register } = configuration;
    const zones = [...new Set(register.replicas.map((replica) => replica.availabilityZone))];
    const region = register.services[0]?.region ?? 'demo';
    const startedDaemons = await daemons.start(url, region, zones.slice(0, 3));
    const store = new HttpPlatformStore({ url });
    const outcome = await new ConfigurationStore({ store, clock: this.clock }).apply({
      configuration,
      changeId: 'demo',
      author: 'demo',
      baseGeneration: 0,
    });
    await store.dispose();
    this.context.stdout.write(`configuration ${outcome.kind}; waiting until it is in force\n`);
    await Promise.all(startedDaemons.map((daemon) => this.waitUntilReady(daemon)));
    const ports = startedDaemons.map(({ port }) => port).join(', ');
    this.context.stdout.write(
      `in force at ${startedDaemons.length} daemons, ports for callers: ${ports}\n\n`,
    );
    return startedDaemons;
  }

  private async waitUntilReady({ adminPort }: DemoDaemon): Promise<void> {
    const response = await request(`http://127.0.0.1:${adminPort}/ready`);
    await response.body.dump();
    if (response.statusCode === 200) {
      return;
    }
    await this.delay(READY_POLL_INTERVAL_MS);
    await this.waitUntilReady({ adminPort } as DemoDaemon);
  }

  private async runCalls(configuration: Configuration, daemons: DemoDaemon[]): Promise<number> {
    const calls = getClassCalls(configuration);
    await this.printStreamedAnswer(configuration, calls, daemons);
    const summaries = new Map(
      calls.map(({ className, target }) => [className, new ClassSummary(className, target)]),
    );
    const failed = await this.sendCalls(configuration, calls, daemons, summaries);
    this.context.stdout.write(formatTable([...summaries.values()].map((each) => each.getRow())));
    this.context.stdout.write(`\n${failed} answers were incomplete\n`);
    return failed === 0 ? 0 : 1;
  }

  private async printStreamedAnswer(
    configuration: Configuration,
    calls: ClassCall[],
    [daemon]: DemoDaemon[],
  ): Promise<void> {
    const chat = calls.find(({ shape }) => shape.kind === 'chat');
    const workspace = configuration.register.workspaces[0]!.name;
    this.context.stdout.write(`a ${chat!.className} of ${workspace}, streamed:\n`);
    await makeCall(chat!.shape, {
      port: daemon!.port,
      apiKey: getDemoKey(workspace),
      prompt: 'Which paper for outdoor posters?',
      onText: (text) => this.context.stdout.write(text),
    });
    this.context.stdout.write('\n\n');
  }

  private async sendCalls(
    configuration: Configuration,
    calls: ClassCall[],
    daemons: DemoDaemon[],
    summaries: Map<string, ClassSummary>,
  ): Promise<number> {
    const random = createRandom(1);
    const count = Math.ceil(Number(this.seconds) * CALLS_PER_SECOND);
    this.context.stdout.write(`sending ${count} calls of ${calls.length} classes\n`);
    const send = async (index: number): Promise<boolean> => {
      await this.delay((index * MILLISECONDS_PER_SECOND) / CALLS_PER_SECOND);
      const call = calls[index % calls.length]!;
      const result = await sendRandomCall(configuration, call, daemons, random);
      summaries.get(call.className)!.add(result);
      return result.isComplete;
    };
    const completions = await Promise.all(Array.from({ length: count }, (_, index) => send(index)));
    return completions.filter((isComplete) => !isComplete).length;
  }

  private delay(duration: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.setTimer(duration, resolve);
    });
  }
}
