#!/usr/bin/env node
import { Command, Option, runExit } from 'clipanion';
import { isNumber } from 'typanion';
import { createEngineStandin } from '../lib/engine/EngineStandin.js';
import { defaultEngineStandinOptions as defaults } from '../lib/engine/EngineStandinOptions.js';
import { getDefined } from '../lib/getDefined.js';
import { runStandin } from '../lib/runStandin.js';

const CRASH_CODE = 70;

function number(name: string, description: string, fallback: number) {
  return Option.String(name, {
    validator: isNumber(),
    description: `${description} (${fallback})`,
  });
}

class EngineCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'run a stand-in for a model engine',
    details: `
      Answers chat completions, streamed and whole, at the pace of a modelled batch; the answer is a
      pure function of the request. Prints one JSON line with its address when it listens, and ends
      on SIGINT or SIGTERM. POST /faults makes it fail, GET /runs lists what ran.
    `,
    examples: [
      ['A small engine that checks fencing numbers', '$0 --slots 4 --checks-fencing'],
      ['A fast one for benchmarks', '$0 --slots 256 --step-base 10 --step-per-request 0'],
    ],
  });

  host = Option.String('--host', { description: `address to listen at (${defaults.host})` });

  port = number('--port', 'port; 0, any free one', defaults.port);

  slots = number('--slots', 'requests run at once', defaults.slots);

  maxWaiting = number('--max-waiting', 'requests that may wait', defaults.maxWaiting);

  stepBase = number('--step-base', 'ms between tokens when idle', defaults.stepBase);

  stepPerRequest = number('--step-per-request', 'ms each adds', defaults.stepPerRequest);

  prefillPerToken = number('--prefill-per-token', 'ms per uncached', defaults.prefillPerToken);

  prefillPerStep = number('--prefill-per-step', 'prompt tokens a step', defaults.prefillPerStep);

  cacheBlocks = number('--cache-blocks', 'blocks of prefix cache', defaults.cacheBlocks);

  loadLag = number('--load-lag', 'ms the load report is behind', defaults.loadLag);

  loadTime = number('--load-time', 'ms to load a model', defaults.loadTime);

  weightLoads = number('--weight-loads', 'loads per span', defaults.weightLoads);

  weightSpan = number('--weight-span', 'span for loads, in ms', defaults.weightSpan);

  cacheEventLag = number('--cache-event-lag', 'ms events are late', defaults.cacheEventLag);

  cacheEventLoss = number('--cache-event-loss', 'share lost', defaults.cacheEventLoss);

  loaded = Option.Array('--loaded', { description: 'a loaded model[:adapter]@version; repeat' });

  requiresLoaded = Option.Boolean('--requires-loaded', {
    description: 'refuse requests for a model that is not loaded',
  });

  checksFencing = Option.Boolean('--checks-fencing', {
    description: 'refuse orders that carry an old fencing number',
  });

  override async execute(): Promise<void> {
    const onCrash = () => process.exit(CRASH_CODE);
    const engine = createEngineStandin({ ...this.getOptions(), onCrash });
    await runStandin(engine, this.context.stdout);
  }

  private getOptions() {
    const { host, port, slots, maxWaiting, stepBase, stepPerRequest, prefillPerToken } = this;
    const { prefillPerStep, cacheBlocks, loadLag, loadTime, weightLoads, weightSpan } = this;
    const { cacheEventLag, cacheEventLoss, loaded, requiresLoaded, checksFencing } = this;
    return getDefined({
      ...{ host, port, slots, maxWaiting, stepBase, stepPerRequest, prefillPerToken },
      ...{ prefillPerStep, cacheBlocks, loadLag, loadTime, weightLoads, weightSpan },
      ...{ cacheEventLag, cacheEventLoss, loaded, requiresLoaded, checksFencing },
    });
  }
}

await runExit(
  { binaryLabel: 'Engine stand-in', binaryName: 'apricotrill-standin-engine' },
  EngineCommand,
);
