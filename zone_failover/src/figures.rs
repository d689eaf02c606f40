//! What one planner says of a hall, as figures, and how those of several make one.

/// How figures of several planners make one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fusing {
    /// Believed of machines that all see: the middle, of those whose figure at this place is above 0.
    Believed(usize),
    /// The same, and what evidence rests on.
    Evident(usize),
    /// Counted of this planner's own launches: the sum.
    Counted,
}

/// Machines listed, ready, cores of those, cores used at confidence; machines that answer, whether they are
/// held back or not; launches lately, and those refused or failed.
pub const OF_HALL: [(&str, Fusing); 7] = [
    ("machines", Fusing::Believed(0)),
    ("ready", Fusing::Believed(0)),
    ("cores", Fusing::Believed(1)),
    ("used", Fusing::Believed(1)),
    ("answer", Fusing::Evident(0)),
    ("launched", Fusing::Counted),
    ("refused", Fusing::Counted),
];
/// The figures of one hall, in this order.
pub type OfHall = [f64; OF_HALL.len()];
