//! How long each number in hand stood, and how many ended meanwhile.

/// Numbers up to here have a cell each.
const EXACT: usize = 32;
/// Cells for each doubling beyond.
const FINE: usize = 8;
/// The largest number that is told apart.
const MOST: usize = 4_096;
/// Cells.
pub const CELLS: usize = EXACT + FINE * 7 + 1;

/// Sufficient statistics of one upstream, of constant size. Two of them add up.
#[derive(Debug, Clone, PartialEq)]
pub struct Seen {
    /// By cell: time in seconds, time by number, and ends.
    cells: [Cell; CELLS],
}

/// One cell.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Cell {
    /// Seconds.
    pub time: f64,
    /// Seconds by number in hand.
    pub area: f64,
    /// Ends.
    pub ends: f64,
    /// Work that came to so many in hand, itself among them, and has ended.
    pub came: f64,
    /// The seconds that it took, and their squares.
    pub took: f64,
    /// The squares.
    pub squares: f64,
}

impl Cell {
    /// The number in hand that it stands for.
    #[must_use]
    pub fn number(&self) -> f64 {
        if self.time > 0.0 {
            self.area / self.time
        } else {
            0.0
        }
    }
}

impl Default for Seen {
    fn default() -> Self {
        Self {
            cells: [Cell::default(); CELLS],
        }
    }
}

fn cell(number: usize) -> usize {
    if number < EXACT {
        return number;
    }
    let beyond = (number.min(MOST) as f64 / EXACT as f64).log2() * FINE as f64;
    (EXACT + beyond as usize).min(CELLS - 1)
}

impl Seen {
    /// So many were in hand for so long.
    pub fn stood(&mut self, number: usize, seconds: f64) {
        let cell = &mut self.cells[cell(number)];
        cell.time += seconds;
        cell.area += seconds * number as f64;
    }

    /// One ended while so many were in hand.
    pub fn ended(&mut self, number: usize) {
        self.cells[cell(number)].ends += 1.0;
    }

    /// One that had come as one of so many took so long.
    pub fn took(&mut self, number: usize, seconds: f64) {
        let cell = &mut self.cells[cell(number)];
        cell.came += 1.0;
        cell.took += seconds;
        cell.squares += seconds * seconds;
    }

    /// Lets what was seen count for less.
    pub fn fade(&mut self, share: f64) {
        for cell in &mut self.cells {
            cell.time *= share;
            cell.area *= share;
            cell.ends *= share;
            cell.came *= share;
            cell.took *= share;
            cell.squares *= share;
        }
    }

    /// Adds what another saw.
    pub fn add(&mut self, other: &Self) {
        for (cell, more) in self.cells.iter_mut().zip(&other.cells) {
            cell.time += more.time;
            cell.area += more.area;
            cell.ends += more.ends;
            cell.came += more.came;
            cell.took += more.took;
            cell.squares += more.squares;
        }
    }

    /// Seconds that ended work took, and how many.
    #[must_use]
    pub fn times(&self) -> (f64, f64) {
        self.cells.iter().fold((0.0, 0.0), |(took, came), cell| {
            (took + cell.took, came + cell.came)
        })
    }

    /// Cells in which something was in hand.
    pub fn busy(&self) -> impl Iterator<Item = &Cell> {
        self.cells[1..].iter().filter(|cell| cell.time > 0.0)
    }

    /// All ends, and all time.
    #[must_use]
    pub fn total(&self) -> (f64, f64) {
        self.cells.iter().fold((0.0, 0.0), |(ends, time), cell| {
            (ends + cell.ends, time + cell.time)
        })
    }

    /// The mean number in hand.
    #[must_use]
    pub fn mean(&self) -> f64 {
        let (area, time) = self.cells.iter().fold((0.0, 0.0), |(area, time), cell| {
            (area + cell.area, time + cell.time)
        });
        if time > 0.0 {
            area / time
        } else {
            0.0
        }
    }

    /// The largest number that stood for a while.
    #[must_use]
    pub fn largest(&self) -> f64 {
        self.busy().map(Cell::number).fold(0.0, f64::max)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn numbers_have_their_cells_in_order_up_to_any() {
        let cells: Vec<usize> = (0..10_000).map(cell).collect();
        assert!(cells.windows(2).all(|pair| pair[0] <= pair[1]) && cells[9_999] < CELLS);
        assert_eq!((cell(31), cell(32)), (31, 32));
    }

    #[test]
    fn what_two_saw_adds_up_in_any_order() {
        let seen = |number: usize| {
            let mut seen = Seen::default();
            seen.stood(number, 0.5);
            seen.ended(number);
            seen
        };
        let (mut one, mut other) = (seen(3), seen(40));
        one.add(&seen(40));
        other.add(&seen(3));
        assert_eq!(one, other);
        assert_eq!((one.total(), one.largest()), ((2.0, 1.0), 40.0));
    }
}
