import { describe, it } from 'node:test';
import { expect } from 'earl';
import findCrashingTraits from './findCrashingTraits';

interface Case {
  readonly name: string;
  /** Processes that ended, by the traits under which they may have. */
  readonly suspects: Readonly<Record<string, readonly string[]>>;
  readonly quarantined?: readonly string[];
  readonly known?: readonly string[];
  readonly answered?: readonly string[];
  readonly found: readonly string[];
}

const cases: readonly Case[] = [
  { name: 'too few ends', suspects: { a: ['1', '2', '3'] }, found: [] },
  { name: 'a trait under which four ended', suspects: { a: ['1', '2', '3', '4'] }, found: ['a'] },
  {
    name: 'traits beside one that explains all ends',
    suspects: {
      first: ['1', '2', '3', '4'],
      bad: ['1', '2', '3', '4', '5'],
      own: ['2', '3', '4', '5'],
    },
    found: ['bad'],
  },
  {
    name: 'equal traits, one of which was answered before',
    suspects: { first: ['1', '2', '3', '4', '5'], bad: ['1', '2', '3', '4', '5'] },
    answered: ['first'],
    found: ['bad'],
  },
  {
    name: 'an answered trait with ends for which a new one would be suspected',
    suspects: { first: ['1', '2', '3', '4'] },
    answered: ['first'],
    found: [],
  },
  {
    name: 'two traits that end servers at the same time',
    suspects: { bad1: ['1', '2', '3', '4', '5', '6'], bad2: ['3', '4', '5', '6', '7'] },
    found: ['bad1', 'bad2'],
  },
  {
    name: 'ends that a quarantined trait explains',
    suspects: { bad: ['1', '2', '3', '4'], session: ['1', '2', '3', '4'] },
    quarantined: ['bad'],
    found: [],
  },
  {
    name: 'an answered trait beside two contents that end servers',
    suspects: {
      first: ['1', '2', '3', '4', '5', '6'],
      'content:bad1': ['1', '2', '3', '4', '5'],
      'content:bad2': ['3', '4', '5', '6', '7'],
    },
    answered: ['first'],
    found: ['content:bad1', 'content:bad2'],
  },
  {
    name: 'a content under which three ended',
    suspects: { 'content:bad': ['1', '2', '3'], first: ['1', '2', '3'] },
    found: ['content:bad'],
  },
  {
    name: 'a content with too few ends',
    suspects: { 'content:own': ['1', '2'] },
    found: [],
  },
  {
    name: 'a single call that was on four servers which others ended',
    suspects: {
      bad1: ['1', '2', '3', '4'],
      'content:own': ['1', '2', '3', '5'],
      bad2: ['5'],
    },
    found: ['bad1'],
  },
  {
    name: 'a content beside the part of its prompt with the same ends',
    suspects: { 'content:own': ['1', '2', '3', '4'], bad: ['1', '2', '3', '4'] },
    found: ['bad'],
  },
  {
    name: 'an answered content with ends for which a new one would be suspected',
    suspects: { 'content:popular': ['1', '2', '3', '4'] },
    answered: ['content:popular'],
    found: [],
  },
  {
    name: 'contents whose prompts share the part that ends servers',
    suspects: {
      bad: ['1', '2', '3', '4', '5', '6'],
      'content:own1': ['1', '2', '3'],
      'content:own2': ['4', '5', '6'],
    },
    found: ['bad'],
  },
  {
    name: 'a trait that was quarantined before',
    suspects: { bad: ['1'] },
    known: ['bad'],
    found: ['bad'],
  },
];

describe('findCrashingTraits', () => {
  cases.forEach(({ name, suspects, quarantined = [], known = [], answered = [], found }) => {
    // Guards against blaming a trait for the ends that another trait beside it causes.
    it(`tells crashing traits from sound ones: ${name}`, () => {
      const result = findCrashingTraits({
        suspects: new Map(
          Object.entries(suspects).map(([trait, processes]) => [trait, new Set(processes)]),
        ),
        isQuarantined: (trait) => quarantined.includes(trait),
        isKnown: (trait) => known.includes(trait),
        wasAnswered: (trait) => answered.includes(trait),
      });
      expect(result).toEqual([...found]);
    });
  });
});
