#!/usr/bin/env node
import { Command, Option, runExit } from 'clipanion';
import { isNumber } from 'typanion';
import { createEngineStandin } from '../lib/engine/EngineStandin.js';
import { defaultEngineStandinOptions as defaults } from '../lib/engine/EngineStandinOptions.js';
import { omitUndefined } from '../lib/omitUndefined.js';
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
      Serves chat completions, streamed or not, at the pace of a simulated batch; the answer is a
      pure function of the request. Prints one JSON line with its address when it listens, and exits
      on SIGINT or SIGTERM. POST /faults injects a fault, GET /runs lists the requests that ran.
    `,
    examples: [
      ['A small engine that checks fencing numbers', '$0 --slots 4 --checks-fencing'],
      ['A fast one for benchmarks', '$0 --slots 256 --step-base 10 --step-per-request 0'],
    ],
  });

  host = Option.String('--host', { description: `address to listen at (${defaults.host})` });

  port = number('--port', 'port; 0 for any free port', defaults.port);

  slots = number('--slots', 'maximum running requests', defaults.slots);

  maxWaiting = number('--max-waiting', 'maximum waiting requests', defaults.maxWaiting);

  stepBase = number('--step-base', 'base duration of a step, in ms', defaults.stepBase);

  stepPerRequest = number(
    '--step-per-request',
    'ms per running request and step',
    defaults.stepPerRequest,
  );

  prefillPerToken = number(
    '--prefill-per-token',
    'ms per uncached token',
    defaults.prefillPerToken,
  );

  prefillPerStep = number(
    '--prefill-per-step',
    'maximum prompt tokens per step',
    defaults.prefillPerStep,
  );

  cacheBlocks = number('--cache-blocks', 'capacity of the prefix cache', defaults.cacheBlocks);

  loadLag = number('--load-lag', 'lag of the load report, in ms', defaults.loadLag);

  loadTime = number('--load-time', 'ms to load a model', defaults.loadTime);

  weightLoads = number('--weight-loads', 'maximum loads per weight span', defaults.weightLoads);

  weightSpan = number('--weight-span', 'period for weight loads, in ms', defaults.weightSpan);

  cacheEventLag = number(
    '--cache-event-lag',
    'delay of cache events, in ms',
    defaults.cacheEventLag,
  );

  cacheEventLoss = number(
    '--cache-event-loss',
    'share of lost cache events',
    defaults.cacheEventLoss,
  );

  loaded = Option.Array('--loaded', {
    description: 'a loaded model[:adapter]@version; may be repeated',
  });

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
    return omitUndefined({
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
