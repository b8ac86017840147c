import { defaultEngineBatchOptions } from '@apricotrill/standins';
import { ManualClock } from '@apricotrill/utils';
import type { Job, JobOutput } from '../ReplicaModel.js';
import { EngineModel } from './EngineModel.js';

function createJob(key: string, changes: { priority?: number; resumeAt?: number } = {}): Job {
  const work = {
    kind: 'chat' as const,
    promptTokens: 100,
    prefixHash: 1,
    prefixTokens: 80,
    answerTokens: 10,
    resumeAt: changes.resumeAt ?? 0,
  };
  return { key, priority: changes.priority ?? 0, work };
}

function createEngine(slots: number) {
  const clock = new ManualClock();
  const outputs: (JobOutput & { at: number })[] = [];
  const engine = new EngineModel(clock, { ...defaultEngineBatchOptions, slots }, (batch) =>
    outputs.push(...batch.map((output) => ({ ...output, at: clock.now() }))),
  );
  const getTokens = (key: string) =>
    outputs.filter((output) => output.key === key).reduce((sum, { units }) => sum + units, 0);
  return { clock, engine, outputs, getTokens };
}

describe('EngineModel', () => {
  it('computes exactly the tokens after the resume point', () => {
    const { clock, engine, getTokens } = createEngine(4);
    engine.submit(createJob('whole'));
    engine.submit(createJob('resumed', { resumeAt: 7 }));
    clock.advance(10_000);
    expect([getTokens('whole'), getTokens('resumed')]).toEqual([10, 3]);
    expect(engine.getLoad()).toEqual({ running: 0, waiting: 0 });
  });

  // Guards against answers reported as complete while most of their tokens were missing: a job
  // that was cancelled on its last token and resumed at its end finished without a token, and
  // the end was attributed to the token of another job in the same step.
  it('finishes only the job that was resumed at its end', () => {
    const { clock, engine, outputs, getTokens } = createEngine(4);
    engine.submit(createJob('whole'));
    engine.submit(createJob('over', { resumeAt: 10 }));
    clock.advance(10_000);
    expect([getTokens('whole'), getTokens('over')]).toEqual([10, 0]);
    const ends = outputs.filter(({ finished }) => finished).map(({ key }) => key);
    expect(ends.sort()).toEqual(['over', 'whole']);
  });

  it('starts waiting jobs by priority, then by arrival', () => {
    const { clock, engine, outputs } = createEngine(1);
    engine.submit(createJob('running', { priority: 4 }));
    engine.submit(createJob('late', { priority: 4 }));
    engine.submit(createJob('later', { priority: 4 }));
    engine.submit(createJob('urgent', { priority: 0 }));
    clock.advance(10_000);
    const finished = outputs.filter((output) => output.finished).map(({ key }) => key);
    expect(finished).toEqual(['running', 'urgent', 'late', 'later']);
  });

  it('emits the first token sooner when the prefix is cached', () => {
    const { clock, engine, outputs } = createEngine(1);
    engine.submit(createJob('cold'));
    clock.advance(10_000);
    engine.submit(createJob('warm'));
    clock.advance(10_000);
    const getFirst = (wanted: string) => outputs.find(({ key }) => key === wanted)!.at;
    expect(getFirst('cold') - (getFirst('warm') - 10_000)).toBeCloseTo(80 * 0.05);
  });

  it('loses running and waiting jobs in a crash and computes no more tokens for them', () => {
    const { clock, engine, outputs } = createEngine(1);
    engine.submit(createJob('running'));
    engine.submit(createJob('waiting'));
    expect(engine.crash()).toEqual(['running', 'waiting']);
    clock.advance(10_000);
    expect(outputs).toEqual([]);
  });
});
