import { formatTable } from './formatTable.js';

describe('formatTable', () => {
  it('aligns what fits the page', () => {
    expect(
      formatTable([
        ['a', 'long head'],
        ['wide cell', 'b'],
      ]),
    ).toBe(
      ['| a         | long head |', '| --------- | --------- |', '| wide cell | b         |'].join(
        '\n',
      ),
    );
  });

  it('leaves what does not fit narrow', () => {
    const wide = 'x'.repeat(100);
    expect(
      formatTable([
        ['a', 'b'],
        [wide, ''],
      ]),
    ).toBe(['| a | b |', '| --- | --- |', `| ${wide} |  |`].join('\n'));
  });
});
